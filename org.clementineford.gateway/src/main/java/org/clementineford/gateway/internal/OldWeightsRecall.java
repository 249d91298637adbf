package org.clementineford.gateway.internal;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.Scheduler;
import org.clementineford.serving.routing.EndpointState;
import org.clementineford.serving.routing.MinimumWeightVersion;

/**
 * Recalls a request from an engine whose weights become too old before the first event. Not
 * thread-safe.
 */
final class OldWeightsRecall {
  /** Longest time between two looks at the version that is required, in nanoseconds. */
  private static final long CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final GatewayState state;
  private final EventLoopInput input;
  private final EndpointState engine;
  private final Runnable recall;
  private Scheduler.Cancellable timer;

  OldWeightsRecall(
      GatewayState state, EventLoopInput input, EndpointState engine, Runnable recall) {
    this.state = state;
    this.input = input;
    this.engine = engine;
    this.recall = recall;
  }

  /** Waits for the moment of the recall. An endpoint without weights needs none. */
  void start() {
    if (engine.weightVersion() > 0) {
      schedule(delayNanos());
    }
  }

  private void schedule(OptionalLong delayNanos) {
    // The version may be named, or turn out to be older, while the request waits.
    long nextNanos = Math.min(CHECK_NANOS, delayNanos.orElse(CHECK_NANOS));
    timer = input.schedule(this::check, nextNanos, TimeUnit.NANOSECONDS);
  }

  private void check() {
    OptionalLong delayNanos = delayNanos();
    boolean due = delayNanos.isPresent() && delayNanos.getAsLong() == 0;
    if (due && engine.weightVersion() > 0) {
      recall.run();
    } else {
      schedule(due ? OptionalLong.empty() : delayNanos);
    }
  }

  private OptionalLong delayNanos() {
    return minimumVersion().recallDelayNanos(engine.weightVersion(), state.clock().nanoTime());
  }

  private MinimumWeightVersion minimumVersion() {
    return state.minimumWeightVersion(engine.endpoint().service());
  }

  /** Ends the wait, because the request began or ended. */
  void cancel() {
    if (timer != null) {
      timer.cancel();
    }
  }
}
