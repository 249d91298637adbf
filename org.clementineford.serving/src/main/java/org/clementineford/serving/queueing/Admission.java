package org.clementineford.serving.queueing;

import java.util.OptionalDouble;
import java.util.function.DoubleSupplier;

/**
 * Decides whether a request may wait for an engine, for loads that the engines cannot serve before
 * callers leave.
 */
public final class Admission {
  /**
   * Part of a caller's time that the predicted wait may take. A longer queue only adds requests
   * that wait in vain while newer ones meet their latency goal.
   */
  private static final double WAITING_PART = 0.2;

  /** Longest time that a refused caller is asked to wait, in seconds. */
  private static final double LONGEST_RETRY_SECONDS = 2.0;

  private static final double SHORTEST_RETRY_SECONDS = 0.1;

  private final DoubleSupplier random;

  /**
   * Creates the decision.
   *
   * @param random numbers of at least 0 and below 1
   */
  public Admission(DoubleSupplier random) {
    this.random = random;
  }

  /**
   * Predicts how long a request waits for an engine.
   *
   * @param waitingMs engine time that the requests before it need, in milliseconds
   * @param engines engines that work on them, as this entry VM's part of them
   * @return milliseconds; {@link Double#MAX_VALUE} without engines
   */
  public static double waitMs(double waitingMs, double engines) {
    return engines <= 0 ? Double.MAX_VALUE : waitingMs / engines;
  }

  /**
   * Decides on a request that finds no free engine.
   *
   * @param waitMs predicted wait, in milliseconds
   * @param remainingMs time until the caller leaves, in milliseconds
   * @return empty if the request may wait, else the seconds after which the caller should return
   */
  public OptionalDouble refuse(double waitMs, double remainingMs) {
    if (waitMs <= remainingMs * WAITING_PART) {
      return OptionalDouble.empty();
    }
    return OptionalDouble.of(retryAfterSeconds(waitMs));
  }

  /**
   * Returns when a refused caller should return. The times are spread so that callers that were
   * refused together do not return together.
   *
   * @param waitMs time until the present requests are done, in milliseconds
   * @return seconds
   */
  public double retryAfterSeconds(double waitMs) {
    double seconds =
        Math.max(SHORTEST_RETRY_SECONDS, Math.min(LONGEST_RETRY_SECONDS, waitMs / 1000));
    return seconds * (0.75 + random.getAsDouble() / 2);
  }
}
