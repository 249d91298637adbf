package org.clementineford.daemons;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.clementineford.kernel.Scheduler;

/** Waits for conditions of processes that run on the system's time. */
final class Await {
  private static final long POLL_MS = 20;

  private final Scheduler scheduler;

  Await(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Waits until the condition holds; the condition must not block. */
  void until(String expectation, long limitSeconds, Supplier<Boolean> condition) throws Exception {
    CompletableFuture<Void> held = new CompletableFuture<>();
    Scheduler.Cancellable poll =
        scheduler.scheduleWithFixedDelay(
            () -> {
              try {
                if (condition.get()) {
                  held.complete(null);
                }
              } catch (RuntimeException e) {
                held.completeExceptionally(e);
              }
            },
            POLL_MS,
            TimeUnit.MILLISECONDS);
    try {
      held.get(limitSeconds, TimeUnit.SECONDS);
    } catch (TimeoutException e) {
      throw new AssertionError(expectation + " within " + limitSeconds + " s");
    } finally {
      poll.cancel();
    }
  }

  static <T> T value(CompletableFuture<T> future) throws Exception {
    try {
      return future.get(20, TimeUnit.SECONDS);
    } catch (ExecutionException e) {
      throw new AssertionError("the call failed", e.getCause());
    }
  }
}
