package org.clementineford.endpoint.internal.requests;

import java.util.Optional;

/** What a back end is. */
enum BackEndKind {
  /** A model engine; answers from weights that this daemon activated and reports its load. */
  ENGINE {
    @Override
    boolean isServed(ActivatedVersions versions, String name) {
      return versions.current(name).isPresent();
    }

    @Override
    Optional<String> weightsProblem(
        ActivatedVersions versions, String name, int status, String version, String digest) {
      boolean stated = version != null && digest != null;
      boolean errorWithoutWeights = status >= 400 && version == null && digest == null;
      if (errorWithoutWeights || (stated && versions.contains(name, version, digest))) {
        return Optional.empty();
      }
      return Optional.of("version " + version + ", digest " + digest);
    }
  },
  /** A plain service; has no weights. */
  SERVICE {
    @Override
    boolean isServed(ActivatedVersions versions, String name) {
      return true;
    }

    @Override
    Optional<String> weightsProblem(
        ActivatedVersions versions, String name, int status, String version, String digest) {
      return Optional.empty();
    }
  };

  /** Tells whether the back end can answer now. */
  abstract boolean isServed(ActivatedVersions versions, String name);

  /** Says what is wrong with the weights that an answer names, or nothing. */
  abstract Optional<String> weightsProblem(
      ActivatedVersions versions, String name, int status, String version, String digest);
}
