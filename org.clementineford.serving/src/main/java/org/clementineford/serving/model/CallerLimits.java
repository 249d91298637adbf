package org.clementineford.serving.model;

/**
 * Limits that the configuration sets for callers.
 *
 * @param maxBodyBytes largest body of a request, in bytes
 * @param idleTimeoutMs time after which a keep-alive connection without a request is closed, in
 *     milliseconds
 */
public record CallerLimits(int maxBodyBytes, int idleTimeoutMs) {
  /** Limits that apply until a configuration sets others. */
  public static final CallerLimits DEFAULT = new CallerLimits(4 << 20, 60_000);
}
