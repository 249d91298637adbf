package org.clementineford.endpoint;

import java.util.Optional;
import java.util.function.Consumer;

/** The model versions from which this VM answers. */
public interface ServedVersions {
  /**
   * Returns the version that new requests for a model are answered from.
   *
   * @param model name of the model
   * @return the version, or empty if no whole copy has been activated
   */
  Optional<ServedVersion> current(String model);

  /**
   * Registers a listener that is called after each activation.
   *
   * @param listener called with the version now served; must not block
   */
  void onChange(Consumer<ServedVersion> listener);

  /**
   * A version that was loaded whole.
   *
   * @param model name of the model
   * @param version name of the version
   * @param digest SHA-256 of the whole weights as the engine reported it, lower-case hexadecimal
   */
  record ServedVersion(String model, String version, String digest) {}
}
