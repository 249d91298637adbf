package org.clementineford.kernel.errors;

import java.util.concurrent.CompletionException;

/** Unwraps the exceptions of failed futures. */
public final class CompletionExceptions {
  private CompletionExceptions() {}

  /**
   * Returns the original failure of a future. A {@link java.util.concurrent.CompletionStage} that
   * depends on a failed stage wraps its exception in a {@link CompletionException}.
   *
   * @param failure exception with which a stage completed
   * @return the cause of a {@link CompletionException}, else the exception itself
   */
  public static Throwable unwrap(Throwable failure) {
    return failure instanceof CompletionException && failure.getCause() != null
        ? failure.getCause()
        : failure;
  }
}
