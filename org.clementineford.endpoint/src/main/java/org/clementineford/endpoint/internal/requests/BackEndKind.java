package org.clementineford.endpoint.internal.requests;

import java.util.Optional;

/** Kinds of back ends. */
enum BackEndKind {
  /** A model engine: serves weights that this daemon activated, and reports its load. */
  ENGINE {
    @Override
    boolean isAvailable(ActivatedVersions versions, String name) {
      return versions.current(name).isPresent();
    }

    @Override
    Optional<String> findWeightsMismatch(
        ActivatedVersions versions, String name, int status, String version, String digest) {
      boolean reported = version != null && digest != null;
      boolean errorWithoutWeights = status >= 400 && version == null && digest == null;
      if (errorWithoutWeights || (reported && versions.contains(name, version, digest))) {
        return Optional.empty();
      }
      return Optional.of("version " + version + ", digest " + digest);
    }
  },
  /** A plain service without weights. */
  SERVICE {
    @Override
    boolean isAvailable(ActivatedVersions versions, String name) {
      return true;
    }

    @Override
    Optional<String> findWeightsMismatch(
        ActivatedVersions versions, String name, int status, String version, String digest) {
      return Optional.empty();
    }
  };

  /** Returns whether the back end can answer requests now. */
  abstract boolean isAvailable(ActivatedVersions versions, String name);

  /**
   * Checks the weights that an answer reports.
   *
   * @return version and digest in the answer if they are not valid, or empty if they are
   */
  abstract Optional<String> findWeightsMismatch(
      ActivatedVersions versions, String name, int status, String version, String digest);
}
