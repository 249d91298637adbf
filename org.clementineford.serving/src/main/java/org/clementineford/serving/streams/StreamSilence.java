package org.clementineford.serving.streams;

/**
 * Phases of a stream in which its endpoint may be silent, with the time after which the stream is
 * continued at another endpoint. It answers two loads: endpoints that are cut off or dead, whose
 * callers should not wait, and engines that all are slow, where a cut reads the prompt a second
 * time and makes them slower.
 */
public enum StreamSilence {
  /** Before the first event: the endpoint may wait for a slot and read the prompt. */
  FIRST_EVENT(1_500),
  /** Between two events. */
  NEXT_EVENT(1_000);

  /** Time that another endpoint needs for its first event, in milliseconds. */
  private static final long RETRY_MS = 900;

  private final long unheardMs;

  StreamSilence(long unheardMs) {
    this.unheardMs = unheardMs;
  }

  /**
   * Returns the longest silence.
   *
   * @param heard true if the endpoint's VM reported lately that the endpoint runs
   * @param callerLeavesMs time from the beginning of the silence until the caller leaves, in
   *     milliseconds
   * @return milliseconds
   */
  public long limitMs(boolean heard, long callerLeavesMs) {
    return heard ? Math.max(unheardMs, callerLeavesMs - RETRY_MS) : unheardMs;
  }
}
