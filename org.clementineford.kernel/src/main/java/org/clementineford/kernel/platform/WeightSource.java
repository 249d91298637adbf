package org.clementineford.kernel.platform;

import java.util.concurrent.CompletableFuture;

/** An origin or weight store from which weights are read. */
public interface WeightSource {
  /**
   * Reads the manifest of a model version.
   *
   * @param model name of the model
   * @param version name of the version
   * @return the manifest as published; fails with {@code PlatformException}
   */
  CompletableFuture<byte[]> manifest(String model, String version);

  /**
   * Reads a range of the weights.
   *
   * @param model name of the model
   * @param version name of the version
   * @param offset first byte
   * @param length number of bytes
   * @return exactly {@code length} bytes, not yet verified; fails with {@code PlatformException}
   */
  CompletableFuture<byte[]> read(String model, String version, long offset, int length);
}
