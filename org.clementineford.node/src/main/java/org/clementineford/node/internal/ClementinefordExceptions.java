package org.clementineford.node.internal;

import java.util.concurrent.CompletionException;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;

/** Converts the failures of futures to {@link ClementinefordException}. */
public final class ClementinefordExceptions {
  private ClementinefordExceptions() {}

  /**
   * Converts a failure.
   *
   * @param thrown exception with which a future failed
   * @return the {@code ClementinefordException} that caused it, or one of kind {@code INTERNAL} for
   *     any other cause
   */
  public static ClementinefordException from(Throwable thrown) {
    Throwable cause = thrown;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    if (cause instanceof ClementinefordException typed) {
      return typed;
    }
    return new ClementinefordException(
        ErrorKind.INTERNAL, "unexpected failure (" + cause + "); report this defect", cause);
  }
}
