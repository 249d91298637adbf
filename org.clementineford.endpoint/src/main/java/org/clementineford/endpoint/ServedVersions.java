package org.clementineford.endpoint;

import java.util.Optional;
import java.util.function.Consumer;

/** The model versions that the engines of this VM serve. */
public interface ServedVersions {
  /**
   * Returns the version that serves new requests for a model.
   *
   * @param model name of the model
   * @return the version, or empty if no complete copy has been activated
   */
  Optional<ServedVersion> current(String model);

  /**
   * Registers a listener that is called after each activation.
   *
   * @param listener called with the version now served; must not block
   */
  void onChange(Consumer<ServedVersion> listener);

  /**
   * A version that the engines have loaded completely.
   *
   * @param model name of the model
   * @param version name of the version
   * @param digest SHA-256 of the complete weights as reported by the engine, in lower-case
   *     hexadecimal
   */
  record ServedVersion(String model, String version, String digest) {}
}
