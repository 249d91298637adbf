package org.clementineford.soak;

import java.util.Locale;
import org.clementineford.platform.standin.ModelServer;
import org.clementineford.platform.standin.PlainServer;

/** Kinds of requests. */
enum CallKind {
  /** A stream that may continue at another engine. */
  STREAM("stream", "POST", true) {
    @Override
    String wholeBody(String id) {
      return ModelServer.stream(id, 0);
    }
  },
  /** A request that may run more than once. */
  LOOKUP("idempotent", "GET", true) {
    @Override
    String wholeBody(String id) {
      return PlainServer.body(id);
    }
  },
  /** A request that must run once at most. */
  RESERVATION("non_idempotent", "POST", false) {
    @Override
    String wholeBody(String id) {
      return PlainServer.body(id);
    }
  };

  private final String platformName;
  private final String method;
  private final boolean repeatable;

  CallKind(String platformName, String method, boolean repeatable) {
    this.platformName = platformName;
    this.method = method;
    this.repeatable = repeatable;
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

  String path() {
    return "/" + name().toLowerCase(Locale.ROOT) + "/";
  }

  abstract String wholeBody(String id);
}
