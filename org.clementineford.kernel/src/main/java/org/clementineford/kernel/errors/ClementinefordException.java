package org.clementineford.kernel.errors;

/** Base of the checked exceptions of this project. The message names the cause and the remedy. */
public class ClementinefordException extends Exception {
  private static final long serialVersionUID = 1L;

  private final ErrorKind kind;

  /**
   * Creates an exception.
   *
   * @param kind the kind of failure
   * @param message what failed and how to remedy it
   */
  public ClementinefordException(ErrorKind kind, String message) {
    super(message);
    this.kind = kind;
  }

  /**
   * Creates an exception with a cause.
   *
   * @param kind the kind of failure
   * @param message what failed and how to remedy it
   * @param cause the underlying failure
   */
  public ClementinefordException(ErrorKind kind, String message, Throwable cause) {
    super(message, cause);
    this.kind = kind;
  }

  /**
   * Returns the kind of failure.
   *
   * @return never null
   */
  public ErrorKind kind() {
    return kind;
  }
}
