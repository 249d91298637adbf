package org.clementineford.node.internal;

import java.util.concurrent.CompletionException;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;

/** Finds the typed failure of a future. */
public final class Failures {
  private Failures() {}

  /**
   * Unwraps a failure.
   *
   * @param thrown what a future failed with
   * @return the typed failure; kind {@code INTERNAL} for others
   */
  public static ClementinefordException of(Throwable thrown) {
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
