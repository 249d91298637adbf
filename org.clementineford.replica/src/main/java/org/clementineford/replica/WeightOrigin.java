package org.clementineford.replica;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.clementineford.kernel.HostPort;

/** The origin of weights. Futures fail with {@code PlatformException}. */
public interface WeightOrigin {
  /**
   * Reads the digests of a version.
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
   * @return the bytes, not verified; cancelling the future ends the transfer
   */
  CompletableFuture<byte[]> chunk(HostPort origin, String model, long version, int chunk);
}
