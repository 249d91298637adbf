package org.clementineford.kernel.errors;

import java.util.concurrent.CompletionException;

/** Failures of asynchronous calls. */
public final class Failures {
  private Failures() {}

  /**
   * Returns what failed. Stages that depend on a failed one wrap its failure.
   *
   * @param failure failure of a stage
   * @return the cause of a {@link CompletionException}, else the failure itself
   */
  public static Throwable unwrap(Throwable failure) {
    return failure instanceof CompletionException && failure.getCause() != null
        ? failure.getCause()
        : failure;
  }
}
