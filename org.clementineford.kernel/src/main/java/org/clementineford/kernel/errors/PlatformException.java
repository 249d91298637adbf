package org.clementineford.kernel.errors;

/** Thrown if a call to the platform failed or its outcome is unknown. */
public class PlatformException extends ClementinefordException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param kind the kind of failure
   * @param message what failed and how to remedy it
   */
  public PlatformException(ErrorKind kind, String message) {
    super(kind, message);
  }

  /**
   * Creates an exception with a cause.
   *
   * @param kind the kind of failure
   * @param message what failed and how to remedy it
   * @param cause the underlying failure
   */
  public PlatformException(ErrorKind kind, String message, Throwable cause) {
    super(kind, message, cause);
  }
}
