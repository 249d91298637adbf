package org.clementineford.soak;

import java.util.List;
import java.util.Locale;
import org.clementineford.platform.standin.ModelServer;
import org.clementineford.platform.standin.PlainServer;

/** Kinds of requests. */
enum CallKind {
  /** A stream that may continue at another engine. */
  STREAM("stream", "POST", true, 3_000) {
    @Override
    String wholeBody(String id) {
      return ModelServer.stream(id, SHORT_ANSWER_TOKENS);
    }
  },
  /** A request that may run more than once. */
  LOOKUP("idempotent", "GET", true, 3_000) {
    @Override
    String wholeBody(String id) {
      return PlainServer.body(id);
    }
  },
  /** A request that must run once at most. */
  RESERVATION("non_idempotent", "POST", false, 3_000) {
    @Override
    String wholeBody(String id) {
      return PlainServer.body(id);
    }
  },
  /** A stream that lasts for seconds. */
  LONG_STREAM("stream", "POST", true, 9_000) {
    @Override
    String wholeBody(String id) {
      return ModelServer.stream(id, LONG_ANSWER_TOKENS);
    }
  };

  /** Kinds that end in less than a second. */
  static final List<CallKind> SHORT = List.of(STREAM, LOOKUP, RESERVATION);

  /** Tokens of the answer to a short stream. */
  static final int SHORT_ANSWER_TOKENS = 6;

  /** Fewest tokens of the answer to a long stream; it lasts a second. */
  static final int LONG_ANSWER_TOKENS = 1_000 / ModelServer.TOKEN_MS;

  /** Most tokens of the answer to a long stream; it lasts 6 seconds. */
  static final int LONGEST_ANSWER_TOKENS = 6_000 / ModelServer.TOKEN_MS;

  /** Time that the route of a kind allows beyond that of its callers, in milliseconds. */
  private static final long ROUTE_MARGIN_MS = 1_000;

  private final String platformName;
  private final String method;
  private final boolean repeatable;
  private final long timeoutMs;

  CallKind(String platformName, String method, boolean repeatable, long timeoutMs) {
    this.platformName = platformName;
    this.method = method;
    this.repeatable = repeatable;
    this.timeoutMs = timeoutMs;
  }

  String platformName() {
    return platformName;
  }

  String method() {
    return method;
  }

  boolean isRepeatable() {
    return repeatable;
  }

  /** Returns whether engines answer it. */
  boolean isStream() {
    return this == STREAM || this == LONG_STREAM;
  }

  /** Returns the time that callers wait, in milliseconds. */
  long timeoutMs() {
    return timeoutMs;
  }

  /** Returns the longest time of the route, in milliseconds. */
  long routeTimeoutMs() {
    return timeoutMs + ROUTE_MARGIN_MS;
  }

  String path() {
    return "/" + name().toLowerCase(Locale.ROOT) + "/";
  }

  /** Returns the complete answer; those of all long streams have the same events. */
  abstract String wholeBody(String id);
}
