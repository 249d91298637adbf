package org.clementineford.soak;

import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * One request as its caller saw it.
 *
 * @param id identity of the request
 * @param kind what may be repeated
 * @param target path that was asked for
 * @param key the caller's key
 * @param entry entry VM that it was sent to
 * @param reused whether its connection is known to have brought an answer before
 * @param startedAt when it was sent, in monotonic nanoseconds
 * @param endedAt when its answer was whole or it failed, in monotonic nanoseconds
 * @param status status of the answer; 0 if none came or it was not whole
 * @param headers headers of the answer; look-up ignores case
 * @param body body of the answer
 */
record CallerRecord(
    String id,
    CallKind kind,
    String target,
    String key,
    String entry,
    boolean reused,
    long startedAt,
    long endedAt,
    int status,
    Map<String, String> headers,
    String body) {
  boolean isServed() {
    return status / 100 == 2;
  }

  /** Tells whether the caller waited for as long as it said. */
  boolean hasWaitedToTimeout() {
    return endedAt - startedAt >= TimeUnit.MILLISECONDS.toNanos(kind.timeoutMs());
  }
}
