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

  /** Waits for the moment of the recall, if a newer version of the weights is pending. */
  void start() {
    long now = state.clock().nanoTime();
    OptionalLong delay = minimumVersion().recallDelayNanos(engine.weightVersion(), now);
    if (delay.isPresent()) {
      timer = input.schedule(this::check, delay.getAsLong(), TimeUnit.NANOSECONDS);
    }
  }

  private void check() {
    if (engine.weightVersion() < minimumVersion().minimum(state.clock().nanoTime())) {
      recall.run();
    } else {
      start();
    }
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
