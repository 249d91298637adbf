package org.clementineford.replica;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.clementineford.kernel.HostPort;

/** Client of the weight origin. Futures fail with {@code PlatformException}. */
public interface WeightOrigin {
  /**
   * Reads the chunk digests of a version.
   *
   * @param origin address of the origin
   * @param model name of the model
   * @param version the version; empty for the newest
   * @return the digests
   */
  CompletableFuture<WeightDigests> digests(HostPort origin, String model, OptionalLong version);

  /**
   * Reads a chunk.
   *
   * @param origin address of the origin
   * @param model name of the model
   * @param version the version
   * @param chunk number of the chunk
   * @return future of the bytes, not verified; cancelling it aborts the read
   */
  CompletableFuture<byte[]> chunk(HostPort origin, String model, long version, int chunk);
}
