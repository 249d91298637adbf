package org.clementineford.serving.routing;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * This entry VM's share of the requests that an endpoint accepts per second from all entry VMs. The
 * shares are equal and need no messages: each VM may send one request per interval, at times of day
 * that are spread evenly over the VMs in the order of their addresses. With hundreds of VMs, random
 * times would now and then exceed a low limit. A time that passes unused lapses soon, so that VMs
 * which were idle cannot send their requests together. Not thread-safe.
 */
public final class RequestRateLimit {
  /** Fraction of the limit to use, since the network can move requests closer together. */
  private static final double USED_FRACTION = 0.9;

  /**
   * Lowest rate of all entry VMs, in requests per second. An endpoint can state only in a response
   * that it accepts requests again, so one that accepts none receives a request now and then.
   */
  private static final double MIN_REQUESTS_PER_SECOND = 0.1;

  /** Time for which an unused request may be sent late. */
  private static final long LAPSE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

  private boolean limited;
  private double intervalNanos;
  private long nextAt;
  private long sentAt;

  /** Creates a limit that allows all requests. */
  public RequestRateLimit() {}

  /**
   * Updates the limit from a response of the endpoint.
   *
   * @param requestsPerSecond requests per second that the endpoint accepts from all entry VMs;
   *     empty if the response names no limit, which ends an earlier one
   * @param position position of this VM among those that may send requests to the endpoint
   * @param epochMs time of day, in milliseconds since the epoch
   * @param now monotonic time in nanoseconds
   */
  public void update(
      OptionalDouble requestsPerSecond, EntryVmPosition position, long epochMs, long now) {
    if (requestsPerSecond.isEmpty()) {
      limited = false;
      return;
    }
    double total = Math.max(requestsPerSecond.getAsDouble(), MIN_REQUESTS_PER_SECOND);
    double interval = NANOS_PER_SECOND * position.entryVms() / (USED_FRACTION * total);
    if (!limited || interval != intervalNanos) {
      double sincePhase = epochMs * NANOS_PER_MS - position.phase() * interval;
      nextAt = now + (long) (interval - sincePhase % interval);
      if (limited) {
        // Another limit moves the times of this VM, but not closer to its last request.
        nextAt = Math.max(nextAt, sentAt + (long) interval);
      }
    }
    intervalNanos = interval;
    limited = true;
  }

  /**
   * Returns whether the endpoint named a limit in its last response.
   *
   * @return false if it accepts any number of requests
   */
  public boolean isLimited() {
    return limited;
  }

  /**
   * Returns whether a request may be sent now.
   *
   * @param now monotonic time in nanoseconds
   * @return false if this entry VM has used its share
   */
  public boolean allows(long now) {
    return waitNanos(now) <= 0;
  }

  /**
   * Returns the time until a request may be sent.
   *
   * @param now monotonic time in nanoseconds
   * @return time in nanoseconds; 0 if a request may be sent now
   */
  public long waitNanos(long now) {
    if (!limited) {
      return 0;
    }
    dropLapsed(now);
    return Math.max(0, nextAt - now);
  }

  /**
   * Records that a request is sent.
   *
   * @param now monotonic time in nanoseconds
   */
  public void sent(long now) {
    sentAt = now;
    if (limited) {
      dropLapsed(now);
      nextAt += (long) intervalNanos;
    }
  }

  private void dropLapsed(long now) {
    double late = now - nextAt - LAPSE_NANOS;
    if (late > 0) {
      // With a long interval the times of this VM stay as they are, apart from those of others.
      double lapsed =
          intervalNanos > LAPSE_NANOS ? Math.ceil(late / intervalNanos) * intervalNanos : late;
      nextAt += (long) lapsed;
    }
  }

  /**
   * Returns the rate at which this entry VM may send requests.
   *
   * @return requests per second; infinite without a limit
   */
  public double requestsPerSecond() {
    return limited ? NANOS_PER_SECOND / intervalNanos : Double.POSITIVE_INFINITY;
  }
}
