package org.clementineford.kernel.platform;

import java.util.concurrent.CompletableFuture;

/** An origin or a weight store, from which manifests and weights are read. */
public interface WeightSource {
  /**
   * Reads the manifest of a model version.
   *
   * @param model name of the model
   * @param version name of the version
   * @return the bytes of the manifest as published; fails with {@code PlatformException}
   */
  CompletableFuture<byte[]> manifest(String model, String version);

  /**
   * Reads a range of the weights.
   *
   * @param model name of the model
   * @param version name of the version
   * @param offset offset of the first byte
   * @param length number of bytes
   * @return exactly {@code length} bytes, not yet verified; fails with {@code PlatformException}
   */
  CompletableFuture<byte[]> read(String model, String version, long offset, int length);
}
