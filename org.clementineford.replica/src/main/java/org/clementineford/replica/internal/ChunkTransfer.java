package org.clementineford.replica.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.clementineford.kernel.DistributionPolicy;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.replica.WeightDigests;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;
import org.clementineford.transport.http.ResponseBounds;
import org.clementineford.weights.ChunkBitmap;
import org.clementineford.weights.Digests;
import org.clementineford.weights.Fetch;
import org.clementineford.weights.FetchFailure;
import org.clementineford.weights.TransferActions;
import org.clementineford.weights.TransferState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Transfer of the chunks of one version to this VM. Not thread-safe. */
final class ChunkTransfer {
  private static final Logger LOG = LoggerFactory.getLogger(ChunkTransfer.class);

  /** Time without a byte after which a fetch from a peer is abandoned, in milliseconds. */
  private static final long IDLE_TIMEOUT_MS = 2_000;

  /** Longest time of a fetch from a peer, in milliseconds. */
  private static final long MAX_FETCH_MS = 30_000;

  private static final int BUSY_STATUS = 503;
  private static final int NOT_FOUND_STATUS = 404;
  private static final long BUSY_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

  private final TransferContext context;
  private final TransferState state;
  private final byte[][] chunks;
  private final Runnable onComplete;
  private final DigestSuspicion suspicion;
  private final Map<Long, CompletableFuture<?>> reads = new HashMap<>();
  private final Map<String, Long> bytesBySource = new HashMap<>();
  private final Scheduler.Cancellable timer;
  private final long startedAt;
  private WeightDigests digests;
  private long completedAt;
  private boolean stopped;

  ChunkTransfer(
      TransferContext context,
      WeightDigests digests,
      Collection<VmIdentity> peers,
      ChunkTransfer reusable,
      Map<Integer, byte[]> staged,
      Runnable onComplete,
      Consumer<ChunkTransfer> onDigestsSuspected) {
    this.context = context;
    this.digests = digests;
    this.chunks = new byte[digests.digests().size()][];
    this.onComplete = onComplete;
    this.suspicion = new DigestSuspicion(() -> onDigestsSuspected.accept(this));
    this.startedAt = context.clock().nanoTime();
    this.state =
        new TransferState(
            context.self(),
            digests.model() + "/" + digests.version(),
            chunks.length,
            DistributionPolicy.FEWEST_ORIGIN_BYTES,
            context.limits());
    reuse(reusable);
    staged.forEach(this::reuse);
    state.setMembers(peers);
    completedAt = startedAt;
    timer =
        context
            .scheduler()
            .scheduleWithFixedDelay(
                this::proceed, context.limits().announceNanos(), TimeUnit.NANOSECONDS);
    LOG.atInfo()
        .addKeyValue("version", digests.version())
        .addKeyValue("peers", peers.size())
        .addKeyValue("reused", state.held().count())
        .log("transfer started");
  }

  private void reuse(int chunk, byte[] bytes) {
    if (Digests.sha256Hex(bytes).equals(digests.digests().get(chunk))) {
      chunks[chunk] = bytes;
      state.markHeld(chunk);
    }
  }

  private void reuse(ChunkTransfer other) {
    if (other == null) {
      return;
    }
    for (int chunk = 0; chunk < chunks.length; chunk++) {
      int at = other.digests.digests().indexOf(digests.digests().get(chunk));
      if (at >= 0 && other.chunks[at] != null) {
        chunks[chunk] = other.chunks[at];
        state.markHeld(chunk);
      }
    }
  }

  WeightDigests digests() {
    return digests;
  }

  boolean isComplete() {
    return state.held().isComplete();
  }

  double progress() {
    return (double) chunksHeld() / chunks.length;
  }

  int chunksHeld() {
    return state.held().count();
  }

  /**
   * Returns when the transfer was complete, or is expected to be, in monotonic nanoseconds.
   *
   * @param usualNanos duration of the transfer before it
   */
  long endsAt(ActivationSchedule schedule, long usualNanos) {
    return isComplete()
        ? completedAt
        : schedule.expectedEnd(progress(), elapsedNanos(), usualNanos, context.clock().nanoTime());
  }

  /** Returns the time that the transfer took, or takes up to now. */
  long durationNanos() {
    return isComplete() ? completedAt - startedAt : elapsedNanos();
  }

  long elapsedNanos() {
    return context.clock().nanoTime() - startedAt;
  }

  byte[] bitmap() {
    return state.held().toBytes();
  }

  int chunkCount() {
    return chunks.length;
  }

  /** Returns a verified chunk, or null if it is not held. */
  byte[] chunk(int number) {
    return number >= 0 && number < chunks.length ? chunks[number] : null;
  }

  void setPeers(Collection<VmIdentity> peers) {
    state.setMembers(peers);
  }

  void setPeerChunks(VmIdentity peer, byte[] bitmap) {
    state.setPeerChunks(peer, ChunkBitmap.fromBytes(bitmap, chunks.length));
    proceed();
  }

  void stop() {
    stopped = true;
    timer.cancel();
    reads.values().forEach(read -> read.cancel(false));
    reads.clear();
  }

  private void proceed() {
    if (stopped || isComplete()) {
      return;
    }
    TransferActions actions = state.plan(context.clock().nanoTime());
    actions.cancelled().forEach(this::cancel);
    actions.started().forEach(this::start);
  }

  private void cancel(Fetch fetch) {
    CompletableFuture<?> read = reads.remove(fetch.id());
    if (read != null) {
      read.cancel(false);
    }
  }

  private void start(Fetch fetch) {
    if (fetch.kind().isPeer()) {
      readPeer(fetch);
    } else {
      readOrigin(fetch);
    }
  }

  private void readOrigin(Fetch fetch) {
    HostPort origin = context.origin().get();
    if (origin == null) {
      // Deferred, since a failure during planning would change the state that the plan reads.
      context
          .scheduler()
          .schedule(() -> failed(fetch, FetchFailure.LOST), 1, TimeUnit.MILLISECONDS);
      return;
    }
    CompletableFuture<byte[]> read =
        context.weights().chunk(origin, digests.model(), digests.version(), fetch.chunk());
    reads.put(fetch.id(), read);
    read.whenComplete(
        (bytes, failure) -> {
          if (failure == null) {
            received(fetch, bytes);
          } else if (reads.containsKey(fetch.id())) {
            failed(fetch, FetchFailure.LOST);
          }
        });
  }

  private void readPeer(Fetch fetch) {
    String target = ChunkServer.path(digests.model(), digests.version(), fetch.chunk());
    CompletableFuture<HttpResponse> read =
        context
            .client()
            .call(
                fetch.peer().address(),
                new HttpRequest("GET", target, Map.of(), new byte[0]),
                ResponseBounds.whileActive(IDLE_TIMEOUT_MS, MAX_FETCH_MS));
    reads.put(fetch.id(), read);
    read.whenComplete(
        (response, failure) -> {
          if (failure != null) {
            if (reads.containsKey(fetch.id())) {
              failed(fetch, FetchFailure.LOST);
            }
          } else if (response.status() == BUSY_STATUS) {
            failed(fetch, FetchFailure.BUSY);
          } else if (response.status() == NOT_FOUND_STATUS) {
            failed(fetch, FetchFailure.ABSENT);
          } else {
            received(fetch, response.body());
          }
        });
  }

  private void received(Fetch fetch, byte[] bytes) {
    if (stopped || reads.remove(fetch.id()) == null) {
      return;
    }
    if (!Digests.sha256Hex(bytes).equals(digests.digests().get(fetch.chunk()))) {
      LOG.atWarn()
          .addKeyValue("version", digests.version())
          .addKeyValue("chunk", fetch.chunk())
          .addKeyValue("source", fetch.kind())
          .log("chunk does not match its digest; dropped, to be fetched again");
      state.failed(fetch.id(), FetchFailure.CORRUPT, BUSY_RETRY_NANOS, context.clock().nanoTime());
      suspicion.mismatched(fetch.chunk(), bytes);
      return;
    }
    chunks[fetch.chunk()] = bytes;
    bytesBySource.merge(fetch.kind().name(), (long) bytes.length, Long::sum);
    state.succeeded(fetch.id(), context.clock().nanoTime()).forEach(this::cancel);
    held(fetch.chunk());
  }

  /**
   * Replaces the digests of the chunks that are not held. A held chunk matched its digest, so that
   * the digest is right whatever the other list says.
   *
   * @param reread the list as read again, of the same version
   * @throws IllegalArgumentException if it has another number of chunks
   */
  void correctDigests(WeightDigests reread) {
    if (reread.digests().size() != chunks.length) {
      throw new IllegalArgumentException(
          "the list has " + reread.digests().size() + " chunks instead of " + chunks.length);
    }
    List<String> corrected = new ArrayList<>(reread.digests());
    int changed = 0;
    for (int chunk = 0; chunk < chunks.length; chunk++) {
      if (chunks[chunk] != null) {
        corrected.set(chunk, digests.digests().get(chunk));
      } else if (!corrected.get(chunk).equals(digests.digests().get(chunk))) {
        changed++;
      }
    }
    digests =
        new WeightDigests(digests.model(), digests.version(), digests.chunkBytes(), corrected);
    LOG.atInfo()
        .addKeyValue("version", digests.version())
        .addKeyValue("changed", changed)
        .log("digests read again after chunks that did not match");
    if (changed > 0) {
      state.forgivePeers();
    }
    suspicion.end().forEach(this::reuse);
    if (!stopped && isComplete()) {
      complete();
    } else {
      proceed();
    }
  }

  private void held(int chunk) {
    state.markHeld(chunk);
    if (isComplete()) {
      complete();
    } else {
      proceed();
    }
  }

  private void complete() {
    completedAt = context.clock().nanoTime();
    LOG.atInfo()
        .addKeyValue("version", digests.version())
        .addKeyValue("ms", TimeUnit.NANOSECONDS.toMillis(completedAt - startedAt))
        .addKeyValue("bytes", bytesBySource)
        .log("transfer complete");
    timer.cancel();
    onComplete.run();
  }

  private void failed(Fetch fetch, FetchFailure failure) {
    reads.remove(fetch.id());
    if (!stopped) {
      state.failed(fetch.id(), failure, BUSY_RETRY_NANOS, context.clock().nanoTime());
    }
  }

  /** Returns all chunks in order. The transfer must be complete. */
  List<byte[]> allChunks() {
    List<byte[]> all = new ArrayList<>();
    for (byte[] chunk : chunks) {
      all.add(chunk);
    }
    return all;
  }
}
