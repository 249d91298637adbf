package org.clementineford.requests.attempts;

import java.util.Locale;

/** Why an entry VM ends a request without an answer of a back end. */
public enum EntryRefusal {
  /** The request cannot be understood. */
  BAD_REQUEST(400, 0),
  /** No client account has the bearer token. */
  UNAUTHENTICATED(401, 0),
  /** There is no such path, model or service. */
  NOT_FOUND(404, 0),
  /** The answer of a finished request was too large to keep. */
  ANSWER_NOT_KEPT(502, 0),
  /** The idempotency key was used with another request. */
  KEY_REUSED(422, 0),
  /** The client account uses its share of this entry VM. */
  ENTRY_FULL(429, 1000),
  /** The connection to the endpoint was lost and nothing proves whether the request ran. */
  CONNECTION_LOST(502, 1000),
  /** The answer did not match its length or checksum. */
  CORRUPT_ANSWER(502, 1000),
  /** No endpoint serves the version in force. */
  NO_ENDPOINT(503, 1000),
  /** This entry VM started lately and knows no accounts yet. */
  NO_CONFIGURATION(503, 1000),
  /** This entry VM is stopping. */
  ENTRY_LEAVING(503, 1000),
  /** The platform cannot record the claim. */
  PLATFORM_DOWN(503, 2000),
  /** Nobody can tell any more whether the request ran. */
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
   * Returns the name that callers get; kinds of {@link org.clementineford.requests.RefusalKind}
   * with the same name mean the same.
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
   * Returns when the caller may try again.
   *
   * @return milliseconds, 0 if a wait does not help
   */
  public long retryAfterMs() {
    return retryAfterMs;
  }
}
