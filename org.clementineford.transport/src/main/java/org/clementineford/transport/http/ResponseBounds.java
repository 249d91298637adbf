package org.clementineford.transport.http;

/**
 * Bounds of a collected response. A faulty server may send bytes without end, quickly or slowly.
 *
 * @param idleMs longest time without received data, in milliseconds
 * @param totalMs longest time until the response is complete, in milliseconds
 * @param bodyBytes largest body, in bytes
 */
public record ResponseBounds(long idleMs, long totalMs, int bodyBytes) {
  /** Largest body if none is known; a page of the platform's objects has about 1 MB. */
  private static final int DEFAULT_BODY_BYTES = 8 << 20;

  /**
   * Returns bounds for a response that does not take long.
   *
   * @param totalMs longest time until the response is complete, in milliseconds
   * @return the bounds
   */
  public static ResponseBounds within(long totalMs) {
    return new ResponseBounds(totalMs, totalMs, DEFAULT_BODY_BYTES);
  }

  /**
   * Returns bounds for a response over a link that is shared or slow.
   *
   * @param idleMs longest time without received data, in milliseconds
   * @param totalMs longest time until the response is complete, in milliseconds
   * @return the bounds
   */
  public static ResponseBounds whileActive(long idleMs, long totalMs) {
    return new ResponseBounds(idleMs, totalMs, DEFAULT_BODY_BYTES);
  }
}
