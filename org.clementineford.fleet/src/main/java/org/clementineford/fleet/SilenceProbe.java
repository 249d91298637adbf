package org.clementineford.fleet;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Sends a cheap call when none was answered for a while. Not thread-safe. */
final class SilenceProbe {
  /** Never sends a call. */
  static final SilenceProbe NONE =
      new SilenceProbe(CompletableFuture::new, Long.MAX_VALUE, () -> {}, () -> {});

  private final Supplier<? extends CompletableFuture<?>> call;
  private final long silenceNanos;
  private final Runnable onAnswer;
  private final Runnable onSilence;
  private boolean sent;

  /**
   * Creates a probe that has not sent a call.
   *
   * @param call sends a call
   * @param silenceNanos time without an answer after which to send it, in nanoseconds
   * @param onAnswer called when the call is answered
   * @param onSilence called when it fails
   */
  SilenceProbe(
      Supplier<? extends CompletableFuture<?>> call,
      long silenceNanos,
      Runnable onAnswer,
      Runnable onSilence) {
    this.call = call;
    this.silenceNanos = silenceNanos;
    this.onAnswer = onAnswer;
    this.onSilence = onSilence;
  }

  /**
   * Sends the call if it is due, once until any call is answered.
   *
   * @param sinceAnswerNanos time since the last answer to any call, in nanoseconds
   */
  void checkSilence(long sinceAnswerNanos) {
    if (sinceAnswerNanos < silenceNanos) {
      sent = false;
      return;
    }
    if (sent) {
      return;
    }
    sent = true;
    CompletableFuture.completedFuture(call)
        .<Object>thenCompose(next -> next.get().thenApply(answer -> answer))
        .whenComplete((answer, failure) -> (failure == null ? onAnswer : onSilence).run());
  }
}
