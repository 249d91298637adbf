package org.clementineford.soak;

import java.util.Map;
import org.clementineford.platform.standin.PlatformFiles;

/**
 * A request in progress.
 *
 * @param id identity of the request
 * @param kind what may be repeated
 * @param target path that is asked for
 * @param key the caller's key
 * @param entry entry VM that it is sent to
 * @param reused whether its connection is known to have brought an answer before
 * @param startedAt when it was sent, in monotonic nanoseconds
 */
record Call(
    String id,
    CallKind kind,
    String target,
    String key,
    Program entry,
    boolean reused,
    long startedAt) {
  /** Returns the headers of the request, for an answer of this many tokens. */
  Map<String, String> headers(int answerTokens) {
    return PlatformFiles.requestHeaders(id, SoakFleet.HOST, key, kind.timeoutMs(), answerTokens);
  }

  /** Returns the record of the ended request; status 0 means that no whole answer came. */
  CallerRecord end(long endedAt, int status, Map<String, String> headers, String body) {
    return new CallerRecord(
        id, kind, target, key, entry.vm(), reused, startedAt, endedAt, status, headers, body);
  }
}
