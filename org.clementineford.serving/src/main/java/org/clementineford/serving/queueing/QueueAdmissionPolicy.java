package org.clementineford.serving.queueing;

import java.util.OptionalDouble;
import java.util.function.DoubleSupplier;

/**
 * Decides whether a request may wait for an engine. Requests are refused at loads that the engines
 * cannot serve before callers give up.
 */
public final class QueueAdmissionPolicy {
  /**
   * Largest predicted wait, as a fraction of the time until the caller gives up. A longer queue
   * only adds requests that are not served in time, while newer ones meet their latency goal.
   */
  private static final double MAX_WAIT_FRACTION = 0.2;

  /** Longest time after which a refused caller is asked to retry, in seconds. */
  private static final double MAX_RETRY_AFTER_SECONDS = 2.0;

  private static final double MIN_RETRY_AFTER_SECONDS = 0.1;

  private final DoubleSupplier random;

  /**
   * Creates an admission policy.
   *
   * @param random source of random numbers in [0, 1)
   */
  public QueueAdmissionPolicy(DoubleSupplier random) {
    this.random = random;
  }

  /**
   * Predicts how long a request waits for an engine.
   *
   * @param waitingMs engine time that this request and the waiting ones need, in milliseconds
   * @param engines number of engines that work on these requests: this entry VM's share of all
   *     engines
   * @return predicted wait in milliseconds; {@link Double#MAX_VALUE} if there are no engines
   */
  public static double predictWaitMs(double waitingMs, double engines) {
    return engines <= 0 ? Double.MAX_VALUE : waitingMs / engines;
  }

  /**
   * Decides whether a request for which no engine is free is refused.
   *
   * @param waitMs predicted wait, in milliseconds
   * @param remainingMs time until the caller gives up, in milliseconds
   * @return empty if the request may wait, else the time after which the caller should retry, in
   *     seconds
   */
  public OptionalDouble retryAfterIfRefused(double waitMs, double remainingMs) {
    if (waitMs <= remainingMs * MAX_WAIT_FRACTION) {
      return OptionalDouble.empty();
    }
    return OptionalDouble.of(retryAfterSeconds(waitMs));
  }

  /**
   * Returns the time after which a refused caller should retry. The times vary at random, so that
   * callers that were refused together do not retry together.
   *
   * @param waitMs time until the present requests are served, in milliseconds
   * @return time in seconds
   */
  public double retryAfterSeconds(double waitMs) {
    double seconds =
        Math.max(MIN_RETRY_AFTER_SECONDS, Math.min(MAX_RETRY_AFTER_SECONDS, waitMs / 1000));
    return seconds * (0.75 + random.getAsDouble() / 2);
  }
}
