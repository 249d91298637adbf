package org.clementineford.replica.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import org.clementineford.replica.LocalEngine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads and writes the staging area of the engine on this VM, a few chunks at a time. */
final class ChunkStaging {
  private static final Logger LOG = LoggerFactory.getLogger(ChunkStaging.class);

  /** Maximum number of concurrent reads or writes. */
  private static final int MAX_CONCURRENT = 8;

  private static final String STOPPED = "this VM stops";

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
   * @return future of the chunks read, not verified, by chunk number; does not fail
   */
  CompletableFuture<Map<Integer, byte[]>> read(String model, int chunks) {
    Map<Integer, byte[]> staged = new HashMap<>();
    return CompletableFuture.completedFuture(0)
        .thenCompose(first -> readFrom(model, chunks, staged, first))
        .handle(
            (read, failure) -> {
              if (failure != null) {
                LOG.atInfo()
                    .addKeyValue("reason", failure.getMessage())
                    .log("failed to read staged chunks; fetching them instead");
              }
              return staged;
            });
  }

  private CompletableFuture<Void> readFrom(
      String model, int chunks, Map<Integer, byte[]> staged, int first) {
    if (stopped) {
      return CompletableFuture.failedFuture(new CancellationException(STOPPED));
    }
    int end = Math.min(chunks, first + MAX_CONCURRENT);
    List<CompletableFuture<Optional<byte[]>>> group = new ArrayList<>();
    for (int i = first; i < end; i++) {
      group.add(engine.staged(model, i));
    }
    return CompletableFuture.allOf(group.toArray(new CompletableFuture<?>[0]))
        .thenCompose(
            read -> {
              for (int i = first; i < end; i++) {
                int chunk = i;
                group.get(i - first).join().ifPresent(bytes -> staged.put(chunk, bytes));
              }
              return end < chunks && staged.size() > first
                  ? readFrom(model, chunks, staged, end)
                  : CompletableFuture.completedFuture(null);
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
      return CompletableFuture.failedFuture(new CancellationException(STOPPED));
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
