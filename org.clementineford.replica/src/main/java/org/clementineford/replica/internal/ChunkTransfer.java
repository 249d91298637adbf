package org.clementineford.replica.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.DistributionPolicy;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.replica.WeightDigests;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;
import org.clementineford.weights.ChunkMap;
import org.clementineford.weights.Digests;
import org.clementineford.weights.Fetch;
import org.clementineford.weights.FetchOutcome;
import org.clementineford.weights.TransferActions;
import org.clementineford.weights.TransferState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Transfer of the chunks of one version to this VM. Not thread-safe. */
final class ChunkTransfer {
  private static final Logger LOG = LoggerFactory.getLogger(ChunkTransfer.class);

  /** Time without a byte after which a fetch from a peer is abandoned, in milliseconds. */
  private static final long SILENCE_MS = 2_000;

  private static final int BUSY_STATUS = 503;
  private static final int ABSENT_STATUS = 404;
  private static final long BUSY_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

  private final ReplicaTools tools;
  private final WeightDigests digests;
  private final TransferState state;
  private final byte[][] chunks;
  private final Runnable onWhole;
  private final Map<Long, CompletableFuture<?>> reads = new HashMap<>();
  private final Map<String, Long> sources = new HashMap<>();
  private final Scheduler.Cancellable timer;
  private final long startedAt;
  private boolean stopped;

  ChunkTransfer(
      ReplicaTools tools,
      WeightDigests digests,
      Collection<VmIdentity> peers,
      ChunkTransfer reusable,
      Map<Integer, byte[]> staged,
      Runnable onWhole) {
    this.tools = tools;
    this.digests = digests;
    this.chunks = new byte[digests.digests().size()][];
    this.onWhole = onWhole;
    this.startedAt = tools.clock().nanoTime();
    this.state =
        new TransferState(
            tools.self(),
            digests.model() + "/" + digests.version(),
            chunks.length,
            DistributionPolicy.FEWEST_ORIGIN_BYTES,
            tools.limits());
    reuse(reusable);
    staged.forEach(this::reuse);
    state.setMembers(peers);
    timer =
        tools
            .scheduler()
            .scheduleEvery(this::proceed, tools.limits().announceNanos(), TimeUnit.NANOSECONDS);
    LOG.atInfo()
        .addKeyValue("version", digests.version())
        .addKeyValue("peers", peers.size())
        .addKeyValue("reused", state.held().count())
        .log("transfer started");
  }

  private void reuse(int chunk, byte[] bytes) {
    if (Digests.sha256Hex(bytes).equals(digests.digests().get(chunk))) {
      chunks[chunk] = bytes;
      state.hold(chunk);
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
        state.hold(chunk);
      }
    }
  }

  WeightDigests digests() {
    return digests;
  }

  boolean isWhole() {
    return state.held().isWhole();
  }

  double progress() {
    return (double) chunksHeld() / chunks.length;
  }

  int chunksHeld() {
    return state.held().count();
  }

  long elapsedNanos() {
    return tools.clock().nanoTime() - startedAt;
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

  void peerHolds(VmIdentity peer, byte[] bitmap) {
    state.setMap(peer, ChunkMap.fromBytes(bitmap, chunks.length));
    proceed();
  }

  void stop() {
    stopped = true;
    timer.cancel();
    reads.values().forEach(read -> read.cancel(false));
    reads.clear();
  }

  private void proceed() {
    if (stopped || isWhole()) {
      return;
    }
    TransferActions actions = state.plan(tools.clock().nanoTime());
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
    HostPort origin = tools.origin().get();
    if (origin == null) {
      // Deferred, since a failure during planning would change the state that the plan reads.
      tools.scheduler().schedule(() -> failed(fetch, FetchOutcome.LOST), 1, TimeUnit.MILLISECONDS);
      return;
    }
    CompletableFuture<byte[]> read =
        tools.weights().chunk(origin, digests.model(), digests.version(), fetch.chunk());
    reads.put(fetch.id(), read);
    read.whenComplete(
        (bytes, failure) -> {
          if (failure == null) {
            received(fetch, bytes);
          } else if (reads.containsKey(fetch.id())) {
            failed(fetch, FetchOutcome.LOST);
          }
        });
  }

  private void readPeer(Fetch fetch) {
    String target = ChunkServer.path(digests.model(), digests.version(), fetch.chunk());
    CompletableFuture<HttpResponse> read =
        tools
            .client()
            .collect(
                fetch.peer().address(),
                new HttpRequest("GET", target, Map.of(), new byte[0]),
                SILENCE_MS);
    reads.put(fetch.id(), read);
    read.whenComplete(
        (response, failure) -> {
          if (failure != null) {
            if (reads.containsKey(fetch.id())) {
              failed(fetch, FetchOutcome.LOST);
            }
          } else if (response.status() == BUSY_STATUS) {
            failed(fetch, FetchOutcome.BUSY);
          } else if (response.status() == ABSENT_STATUS) {
            failed(fetch, FetchOutcome.ABSENT);
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
      state.failed(fetch.id(), FetchOutcome.CORRUPT, BUSY_NANOS, tools.clock().nanoTime());
      return;
    }
    chunks[fetch.chunk()] = bytes;
    sources.merge(fetch.kind().name(), (long) bytes.length, Long::sum);
    state.succeeded(fetch.id(), tools.clock().nanoTime()).forEach(this::cancel);
    state.hold(fetch.chunk());
    if (isWhole()) {
      LOG.atInfo()
          .addKeyValue("version", digests.version())
          .addKeyValue("ms", TimeUnit.NANOSECONDS.toMillis(tools.clock().nanoTime() - startedAt))
          .addKeyValue("bytes", sources)
          .log("transfer complete");
      timer.cancel();
      onWhole.run();
    } else {
      proceed();
    }
  }

  private void failed(Fetch fetch, FetchOutcome outcome) {
    reads.remove(fetch.id());
    if (!stopped) {
      state.failed(fetch.id(), outcome, BUSY_NANOS, tools.clock().nanoTime());
    }
  }

  /** Returns all chunks in order. The transfer must be complete. */
  List<byte[]> all() {
    List<byte[]> all = new ArrayList<>();
    for (byte[] chunk : chunks) {
      all.add(chunk);
    }
    return all;
  }
}
