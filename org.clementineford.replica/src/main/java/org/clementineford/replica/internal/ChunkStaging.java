package org.clementineford.replica.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.clementineford.replica.LocalEngine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads and writes the staging area of the engine on this VM, a few chunks at a time. */
final class ChunkStaging {
  private static final Logger LOG = LoggerFactory.getLogger(ChunkStaging.class);

  /** Maximum number of concurrent reads or writes. */
  private static final int MAX_CONCURRENT = 8;

  private final LocalEngine engine;
  private boolean stopped;

  ChunkStaging(LocalEngine engine) {
    this.engine = engine;
  }

  /**
   * Reads the staged chunks as far as possible. Stops at a failed read or if many chunks are
   * missing.
   *
   * @param model name of the model
   * @param chunks number of chunks of the model
   * @param done receives the chunks read, not verified, by chunk number
   */
  void read(String model, int chunks, Consumer<Map<Integer, byte[]>> done) {
    readFrom(model, chunks, new HashMap<>(), 0, done);
  }

  private void readFrom(
      String model,
      int chunks,
      Map<Integer, byte[]> staged,
      int first,
      Consumer<Map<Integer, byte[]>> done) {
    if (stopped) {
      return;
    }
    int end = Math.min(chunks, first + MAX_CONCURRENT);
    List<CompletableFuture<Optional<byte[]>>> group = new ArrayList<>();
    for (int i = first; i < end; i++) {
      group.add(engine.staged(model, i));
    }
    CompletableFuture.allOf(group.toArray(new CompletableFuture<?>[0]))
        .whenComplete(
            (read, failure) -> {
              if (failure != null) {
                LOG.atInfo()
                    .addKeyValue("reason", failure.getMessage())
                    .log("failed to read staged chunks; fetching them instead");
                done.accept(staged);
                return;
              }
              for (int i = first; i < end; i++) {
                int chunk = i;
                group.get(i - first).join().ifPresent(bytes -> staged.put(chunk, bytes));
              }
              if (end < chunks && staged.size() > first) {
                readFrom(model, chunks, staged, end, done);
              } else {
                done.accept(staged);
              }
            });
  }

  /**
   * Writes all chunks.
   *
   * @param model name of the model
   * @param chunks the chunks in order
   * @return future that completes when all are written, or fails with the first failure
   */
  CompletableFuture<Void> write(String model, List<byte[]> chunks) {
    return writeFrom(model, chunks, 0);
  }

  /** Begins no further reads and writes; those in progress end. */
  void stop() {
    stopped = true;
  }

  private CompletableFuture<Void> writeFrom(String model, List<byte[]> chunks, int first) {
    if (stopped) {
      return CompletableFuture.failedFuture(new CancellationException("this VM stops"));
    }
    if (first >= chunks.size()) {
      return CompletableFuture.completedFuture(null);
    }
    List<CompletableFuture<Void>> group = new ArrayList<>();
    for (int i = first; i < Math.min(chunks.size(), first + MAX_CONCURRENT); i++) {
      group.add(engine.stage(model, i, chunks.get(i)));
    }
    return CompletableFuture.allOf(group.toArray(new CompletableFuture<?>[0]))
        .thenCompose(written -> writeFrom(model, chunks, first + MAX_CONCURRENT));
  }
}
