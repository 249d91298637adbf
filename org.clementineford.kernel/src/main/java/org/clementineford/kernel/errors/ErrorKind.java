package org.clementineford.kernel.errors;

/** Kind of a failure, with the exit code that a command-line process reports for it. */
public enum ErrorKind {
  /** A setting, flag or argument is missing or invalid. */
  INVALID_SETTING(2),
  /** A document or section does not match the schema. */
  INVALID_DOCUMENT(3),
  /** Another writer changed the same section or object first. */
  CONFLICT(4),
  /** The caller does not own the item that it tries to change. */
  NOT_OWNER(5),
  /** The named object does not exist. */
  NOT_FOUND(6),
  /** An external system or a peer does not respond. */
  UNAVAILABLE(7),
  /** A write may or may not have taken effect. */
  OUTCOME_UNKNOWN(8),
  /** A local resource, such as a port, cannot be used. */
  LOCAL_RESOURCE(9),
  /** Received bytes do not match their digest or format. */
  CORRUPT_DATA(10),
  /** An order carries a fencing number below the highest one already received. */
  FENCED(11),
  /** A defect of this program. */
  INTERNAL(70);

  private final int exitCode;

  ErrorKind(int exitCode) {
    this.exitCode = exitCode;
  }

  /**
   * Returns the exit code of a command that fails with an error of this kind.
   *
   * @return a value from 1 to 127
   */
  public int exitCode() {
    return exitCode;
  }

  /**
   * Returns whether the same call may succeed later without a change by the caller.
   *
   * @return true if an external system or a peer did not respond
   */
  public boolean isRetryable() {
    return this == UNAVAILABLE;
  }
}
