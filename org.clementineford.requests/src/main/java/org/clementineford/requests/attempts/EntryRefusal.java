package org.clementineford.requests.attempts;

import java.util.Locale;

/** Reason why an entry VM ends a request without an answer from a back end. */
public enum EntryRefusal {
  /** The request is malformed. */
  BAD_REQUEST(400, 0),
  /** The bearer token belongs to no client account. */
  UNAUTHENTICATED(401, 0),
  /** The path, model or service does not exist. */
  NOT_FOUND(404, 0),
  /** The answer of a finished request was too large to store. */
  ANSWER_NOT_KEPT(502, 0),
  /** The idempotency key was already used for another request. */
  KEY_REUSED(422, 0),
  /** The client account has used up its share of the memory of this entry VM. */
  ENTRY_FULL(429, 1000),
  /** The connection to the endpoint was lost and it is unknown whether the request ran. */
  CONNECTION_LOST(502, 1000),
  /** The answer did not match its length or checksum. */
  CORRUPT_ANSWER(502, 1000),
  /** No endpoint serves the version in force. */
  NO_ENDPOINT(503, 1000),
  /** This entry VM started recently and has not received the client accounts yet. */
  NO_CONFIGURATION(503, 1000),
  /** This entry VM is stopping. */
  ENTRY_LEAVING(503, 1000) {
    @Override
    public boolean closesConnection() {
      return true;
    }
  },
  /** This entry VM stopped before the answer was complete. */
  ENTRY_STOPPED(502, 1000) {
    @Override
    public boolean closesConnection() {
      return true;
    }
  },
  /** The platform cannot record the claim. */
  PLATFORM_DOWN(503, 2000),
  /** It can no longer be determined whether the request ran. */
  OUTCOME_UNKNOWN(502, 1000),
  /** Retries would exceed the retry budget. */
  RETRY_BUDGET(503, 1000),
  /** The deadline passed. */
  DEADLINE_PASSED(504, 1000);

  private final int status;
  private final long retryAfterMs;

  EntryRefusal(int status, long retryAfterMs) {
    this.status = status;
    this.retryAfterMs = retryAfterMs;
  }

  /**
   * Returns the name sent to callers. A {@link org.clementineford.requests.RefusalKind} of the same
   * name has the same meaning.
   *
   * @return lower-case words joined by hyphens
   */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /**
   * Returns the HTTP status.
   *
   * @return 400 or above
   */
  public int status() {
    return status;
  }

  /**
   * Returns whether the caller is asked to close its connection, because the next request on it
   * would be refused as well.
   *
   * @return true if this process is stopping
   */
  public boolean closesConnection() {
    return false;
  }

  /**
   * Returns the time after which the caller may try again.
   *
   * @return milliseconds, 0 if waiting does not help
   */
  public long retryAfterMs() {
    return retryAfterMs;
  }
}
