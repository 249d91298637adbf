package org.clementineford.replica.internal;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.replica.EngineStatus;
import org.clementineford.replica.LocalEngine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the status of the engine on this VM. A report that cannot be decoded says nothing of the
 * engine, so that the status before it stays, unless no report can be decoded any more. Not
 * thread-safe.
 */
final class EngineStatusPoll {
  private static final Logger LOG = LoggerFactory.getLogger(EngineStatusPoll.class);

  /** Malformed reports in a row after which the engine counts as unreachable. */
  private static final int MAX_MALFORMED = 3;

  private final LocalEngine engine;
  private final Consumer<EngineStatus> onStatus;
  private boolean pending;
  private int malformed;

  EngineStatusPoll(LocalEngine engine, Consumer<EngineStatus> onStatus) {
    this.engine = engine;
    this.onStatus = onStatus;
  }

  /** Reads the status, unless a read is in progress. */
  void read() {
    if (pending) {
      return;
    }
    pending = true;
    // A read that throws fails the future too, or no other one would ever be sent.
    CompletableFuture.completedFuture(engine)
        .thenCompose(LocalEngine::status)
        .whenComplete(
            (status, failure) -> {
              pending = false;
              if (failure == null) {
                malformed = 0;
                onStatus.accept(status);
              } else {
                failed(failure);
              }
            })
        .exceptionally(
            failure -> {
              LOG.debug("the status of the engine was not read or not processed", failure);
              return null;
            });
  }

  private void failed(Throwable failure) {
    if (isMalformed(failure)) {
      malformed++;
      LOG.atWarn()
          .addKeyValue("reason", failure.getMessage())
          .log("cannot decode the report of the engine; its last status is kept for a while");
      if (malformed < MAX_MALFORMED) {
        return;
      }
    } else {
      LOG.debug("engine did not answer the status request", failure);
    }
    onStatus.accept(EngineStatus.UNREACHABLE);
  }

  private static boolean isMalformed(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof ClementinefordException exception
        && exception.kind() == ErrorKind.CORRUPT_DATA;
  }
}
