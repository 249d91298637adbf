package org.clementineford.replica.internal;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.agrona.concurrent.NanoClock;
import org.clementineford.replica.EngineStatus;
import org.clementineford.replica.LocalEngine;

/**
 * Stages the chunks of a version and orders the engine on this VM to load them. What the order was
 * decided on may have changed when all chunks are staged, not least if this process was paused, so
 * the engine is asked for its status and the decision is checked again right before the order. Not
 * thread-safe.
 */
final class LoadOrder {
  /**
   * Time from the start of staging to the order after which the chunks are staged again. Staged
   * bytes may become corrupt over time and the engine does not verify them.
   */
  private static final long MAX_STAGED_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Times that chunks are staged for one order; a slow VM may need longer than the limit. */
  private static final int MAX_STAGINGS = 2;

  private final LocalEngine engine;
  private final ChunkStaging staging;
  private final NanoClock clock;
  private boolean ordering;

  LoadOrder(LocalEngine engine, ChunkStaging staging, NanoClock clock) {
    this.engine = engine;
    this.staging = staging;
    this.clock = clock;
  }

  /** Returns whether an order was sent and not answered yet. */
  boolean isOrdering() {
    return ordering;
  }

  /**
   * Stages all chunks, then sends the order if it is still due.
   *
   * @param model name of the model
   * @param version version of the chunks
   * @param chunks all chunks in order
   * @param isDue decides on the status of the engine whether to send the order
   * @return future that is empty if the engine accepted the order, has the status for which the
   *     order was not due, or fails with a message that names the step
   */
  CompletableFuture<Optional<EngineStatus>> send(
      String model, long version, List<byte[]> chunks, Predicate<EngineStatus> isDue) {
    return send(model, version, chunks, isDue, 1);
  }

  private CompletableFuture<Optional<EngineStatus>> send(
      String model,
      long version,
      List<byte[]> chunks,
      Predicate<EngineStatus> isDue,
      int stagings) {
    long startedAt = clock.nanoTime();
    return step("staging", () -> staging.write(model, chunks))
        .thenCompose(staged -> step("status", engine::status))
        .thenCompose(
            status -> {
              if (!isDue.test(status)) {
                return CompletableFuture.completedFuture(Optional.of(status));
              }
              if (clock.nanoTime() - startedAt > MAX_STAGED_NANOS && stagings < MAX_STAGINGS) {
                return send(model, version, chunks, isDue, stagings + 1);
              }
              ordering = true;
              return step("order", () -> engine.load(model, version))
                  .whenComplete((accepted, failure) -> ordering = false)
                  .thenApply(accepted -> Optional.empty());
            });
  }

  /** Starts a step, whose failure then names it, also if it cannot be started. */
  private static <T> CompletableFuture<T> step(String name, Supplier<CompletableFuture<T>> call) {
    return CompletableFuture.completedFuture(name)
        .thenCompose(ignored -> call.get())
        .exceptionallyCompose(
            failure ->
                CompletableFuture.failedFuture(
                    new CompletionException(name + ": " + failure.getMessage(), failure)));
  }
}
