package org.clementineford.serving.model;

/**
 * What callers may send and how long they may take.
 *
 * @param maxBodyBytes largest body of a request
 * @param idleTimeoutMs time after which a kept connection without a request is closed
 */
public record CallerLimits(int maxBodyBytes, int idleTimeoutMs) {
  /** Limits until a configuration states others. */
  public static final CallerLimits DEFAULT = new CallerLimits(4 << 20, 60_000);
}
