package org.clementineford.replica;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the engine on this VM. Futures fail with {@code PlatformException}; its kind is {@code
 * CONFLICT} if the engine refuses an order in its current state.
 */
public interface LocalEngine {
  /**
   * Reads the status of the engine.
   *
   * @return the status
   */
  CompletableFuture<EngineStatus> status();

  /**
   * Writes a chunk to the staging area that the engine loads from. The engine does not verify it.
   *
   * @param model name of the model
   * @param chunk number of the chunk
   * @param bytes the chunk
   * @return future that completes when the engine has stored the chunk
   */
  CompletableFuture<Void> stage(String model, int chunk, byte[] bytes);

  /**
   * Reads a staged chunk back.
   *
   * @param model name of the model
   * @param chunk number of the chunk
   * @return the bytes, not verified; empty if the chunk is not staged
   */
  CompletableFuture<Optional<byte[]>> staged(String model, int chunk);

  /**
   * Orders the engine to load the staged chunks.
   *
   * @param model name of the model
   * @param version version of the staged chunks
   * @return future that completes when the engine has accepted the order
   */
  CompletableFuture<Void> load(String model, long version);
}
