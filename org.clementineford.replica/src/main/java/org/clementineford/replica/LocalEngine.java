package org.clementineford.replica;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The engine of this VM. Futures fail with {@code PlatformException}: kind {@code CONFLICT} if the
 * engine refuses an order in its present state.
 */
public interface LocalEngine {
  /**
   * Reads the state of the engine.
   *
   * @return its report
   */
  CompletableFuture<EngineStatus> status();

  /**
   * Places a chunk where the engine loads it from. The engine does not check it.
   *
   * @param model name of the model
   * @param chunk number of the chunk
   * @param bytes the chunk
   * @return completes when the engine has it
   */
  CompletableFuture<Void> stage(String model, int chunk, byte[] bytes);

  /**
   * Reads a staged chunk back.
   *
   * @param model name of the model
   * @param chunk number of the chunk
   * @return the bytes, not verified; empty if none are staged
   */
  CompletableFuture<Optional<byte[]>> staged(String model, int chunk);

  /**
   * Orders the engine to load what is staged.
   *
   * @param model name of the model
   * @param version version of the staged chunks
   * @return completes when the engine has accepted the order
   */
  CompletableFuture<Void> load(String model, long version);
}
