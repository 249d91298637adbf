package org.clementineford.endpoint.internal.weights;

import java.security.MessageDigest;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.clementineford.kernel.DistributionPolicy;
import org.clementineford.kernel.MessageCatalog;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.timeline.EventKind;
import org.clementineford.weights.ChunkBitmap;
import org.clementineford.weights.Digests;
import org.clementineford.weights.Fetch;
import org.clementineford.weights.FetchFailure;
import org.clementineford.weights.Manifest;
import org.clementineford.weights.OriginAssignment;
import org.clementineford.weights.TransferActions;
import org.clementineford.weights.TransferState;

/** Transfer of the weights of one manifest to this VM. */
final class VersionTransfer implements PeerFetch.Listener {
  private static final MessageCatalog MESSAGES = MessageCatalog.of(VersionTransfer.class);

  private final TransferServices services;
  private final Manifest manifest;
  private final String address;
  private final TransferState state;
  private final Consumer<VersionTransfer> onComplete;
  private final TransferCounts counts = new TransferCounts();
  private final Map<Long, PeerFetch> peerFetches = new HashMap<>();
  private final Map<Long, CompletableFuture<byte[]>> sourceReads = new HashMap<>();
  private final MapAnnouncer announcer;
  private Scheduler.Cancellable timer;
  private boolean fetchingEnabled;
  private long startedAt;
  private boolean verifyingDigest;
  private boolean stopped;
  private volatile boolean complete;

  VersionTransfer(
      TransferServices services,
      Manifest manifest,
      DistributionPolicy policy,
      Consumer<VersionTransfer> onComplete) {
    this.services = services;
    this.manifest = manifest;
    this.address = manifest.address();
    this.onComplete = onComplete;
    this.state =
        new TransferState(
            services.context().self(), address, manifest.chunks(), policy, services.limits());
    this.announcer = new MapAnnouncer(services, manifest, address);
  }

  synchronized void start() {
    startedAt = now();
    services.store().pin(manifest);
    record(EventKind.TRANSFER_STARTED);
    for (int chunk = 0; chunk < manifest.chunks(); chunk++) {
      if (services.store().contains(manifest.chunkDigests().get(chunk))) {
        state.markHeld(chunk);
      }
    }
    setMembers(MemberFilters.aliveEndpoints(services.context()));
    timer =
        services
            .context()
            .scheduler()
            .scheduleWithFixedDelay(
                this::tick, services.limits().announceNanos(), TimeUnit.NANOSECONDS);
    // A VM that joins late waits for the chunk maps of its peers; otherwise it would read chunks
    // from the origin that its peers hold.
    announcer.announce(state.held(), state.assignment(), false);
    enableFetching();
    planFetches();
  }

  /** Begins to fetch once the peers have answered, or one that did not would count as silent. */
  private void enableFetching() {
    fetchingEnabled |=
        !announcer.awaitsAnswers() || now() - startedAt >= services.limits().progressTimeoutNanos();
  }

  /** Stops fetching. The chunks stay in the store until their space is needed. */
  synchronized void stop() {
    stopped = true;
    if (timer != null) {
      timer.cancel();
    }
    peerFetches.values().forEach(PeerFetch::cancel);
    peerFetches.clear();
    sourceReads.values().forEach(read -> read.cancel(false));
    sourceReads.clear();
    announcer.close();
    services.store().unpin(address);
    if (!complete) {
      record(EventKind.TRANSFER_DROPPED);
    }
  }

  synchronized void membersChanged(List<VmIdentity> alive) {
    setMembers(alive);
    announcer.membersChanged();
    planFetches();
  }

  private void setMembers(List<VmIdentity> alive) {
    state.setMembers(alive);
    long link = services.limits().regionLinkBytesPerSecond();
    if (link > 0) {
      String region = services.context().self().region();
      long vms = alive.stream().filter(vm -> vm.region().equals(region)).count();
      double share = services.context().configuration().current().policies().transferLinkShare();
      double chunksPerSecond = share * link / (manifest.chunkLength() * (double) vms);
      state.setImportInterval((long) (TimeUnit.SECONDS.toNanos(1) / chunksPerSecond));
    }
  }

  synchronized void permitOriginReads(List<Integer> chunks) {
    chunks.forEach(state::permitOriginRead);
    planFetches();
  }

  /** Processes a chunk map of a peer; returns whether the peer is sent the one of this VM. */
  synchronized boolean mapReceived(VmIdentity sender, byte[] bitmap, boolean opening) {
    state.setPeerChunks(sender, ChunkBitmap.fromBytes(bitmap, manifest.chunks()));
    announcer.mapReceived(sender.address());
    boolean answering = opening && !stopped;
    if (answering) {
      announcer.announceTo(sender, state.held(), complete);
    }
    enableFetching();
    planFetches();
    return answering;
  }

  private synchronized void tick() {
    if (!stopped) {
      enableFetching();
      announcer.announce(state.held(), state.assignment(), complete);
      planFetches();
    }
  }

  private void planFetches() {
    if (stopped || complete || !fetchingEnabled) {
      return;
    }
    TransferActions actions = state.plan(now());
    actions.cancelled().forEach(this::cancelSilent);
    actions.started().forEach(this::startFetch);
    if (state.held().isComplete() && !verifyingDigest) {
      verifyingDigest = true;
      services.verifier().execute(this::verifyWeightsDigest);
    }
  }

  private void startFetch(Fetch fetch) {
    int length = manifest.chunkLength(fetch.chunk());
    if (fetch.kind().isPeer()) {
      PeerFetch peerFetch = new PeerFetch(fetch, address, length, this);
      peerFetches.put(fetch.id(), peerFetch);
      peerFetch.start(services.context().network());
      return;
    }
    CompletableFuture<byte[]> read =
        services
            .source()
            .read(manifest.model(), manifest.version(), manifest.offset(fetch.chunk()), length);
    sourceReads.put(fetch.id(), read);
    read.whenComplete(
        (bytes, failure) -> {
          if (failure == null) {
            received(fetch, bytes);
          } else if (!read.isCancelled()) {
            failed(fetch, FetchFailure.LOST, 0, 0);
          }
        });
  }

  private void cancel(Fetch fetch) {
    CompletableFuture<byte[]> read = sourceReads.remove(fetch.id());
    if (read != null) {
      read.cancel(false);
    }
    PeerFetch peerFetch = peerFetches.remove(fetch.id());
    if (peerFetch != null) {
      recordWasted(peerFetch.cancel());
    }
  }

  private void cancelSilent(Fetch fetch) {
    cancel(fetch);
    services
        .context()
        .timeline()
        .record(
            EventKind.SOURCE_MARKED_DOWN,
            "model",
            manifest.model(),
            "version",
            manifest.version(),
            "source",
            source(fetch),
            "reason",
            FetchFailure.SILENT.name());
  }

  private static String source(Fetch fetch) {
    return fetch.peer() == null ? fetch.kind().name() : fetch.peer().vm();
  }

  private void recordWasted(long bytes) {
    counts.recordWasted(bytes);
    services.metrics().refetched(bytes);
  }

  @Override
  public synchronized void progressed(Fetch fetch) {
    state.progress(fetch.id(), now());
  }

  @Override
  public void received(Fetch fetch, byte[] bytes) {
    services.verifier().execute(() -> verify(fetch, bytes));
  }

  private void verify(Fetch fetch, byte[] bytes) {
    String expected = manifest.chunkDigests().get(fetch.chunk());
    if (!Digests.sha256Hex(bytes).equals(expected)) {
      failed(fetch, FetchFailure.CORRUPT, 0, bytes.length);
      return;
    }
    if (!services.store().put(expected, bytes)) {
      failed(fetch, FetchFailure.BUSY, services.limits().progressTimeoutNanos(), bytes.length);
      return;
    }
    chunkStored(fetch, bytes.length);
  }

  private synchronized void chunkStored(Fetch fetch, int length) {
    peerFetches.remove(fetch.id());
    sourceReads.remove(fetch.id());
    final boolean alreadyHeld = state.held().holds(fetch.chunk());
    state.succeeded(fetch.id(), now()).forEach(this::cancel);
    // The fetch may have been cancelled while its chunk was being verified.
    state.markHeld(fetch.chunk());
    counts.received(fetch.kind().isPeer(), length);
    services.metrics().received(fetch.kind().name(), length);
    if (alreadyHeld) {
      recordWasted(length);
    }
    announcer.chunkStored(fetch);
    if (!fetch.kind().isInRegion()) {
      // The chunk is new to the region, so a delayed announcement delays all VMs of the region.
      announcer.announce(state.held(), state.assignment(), false);
    }
    services.metrics().held(manifest.model(), manifest.version(), state.held().count());
    planFetches();
  }

  @Override
  public synchronized void failed(
      Fetch fetch, FetchFailure failure, long retryAfterNanos, int wastedBytes) {
    sourceReads.remove(fetch.id());
    if (peerFetches.remove(fetch.id()) == null && fetch.kind().isPeer()) {
      return;
    }
    recordWasted(wastedBytes);
    state.failed(fetch.id(), failure, retryAfterNanos, now());
    if (failure == FetchFailure.CORRUPT) {
      services
          .context()
          .timeline()
          .record(
              EventKind.CHUNK_REFETCHED,
              "model",
              manifest.model(),
              "version",
              manifest.version(),
              "chunk",
              String.valueOf(fetch.chunk()),
              "source",
              source(fetch));
    }
    planFetches();
  }

  private void verifyWeightsDigest() {
    MessageDigest digest = Digests.sha256();
    for (int chunk = 0; chunk < manifest.chunks(); chunk++) {
      String chunkDigest = manifest.chunkDigests().get(chunk);
      services.store().read(chunkDigest, 0, manifest.chunkLength(chunk)).ifPresent(digest::update);
    }
    if (Digests.hex(digest.digest()).equals(manifest.digest())) {
      weightsVerified();
    } else {
      record(EventKind.ACTIVATION_FAILED, "reason", MESSAGES.format("not-one-copy"));
    }
  }

  private void weightsVerified() {
    synchronized (this) {
      if (stopped) {
        return;
      }
      complete = true;
      record(EventKind.TRANSFER_WHOLE);
      announcer.announce(state.held(), state.assignment(), true);
    }
    onComplete.accept(this);
  }

  private void record(EventKind kind, String... details) {
    String[] all = new String[details.length + 4];
    all[0] = "model";
    all[1] = manifest.model();
    all[2] = "version";
    all[3] = manifest.version();
    System.arraycopy(details, 0, all, 4, details.length);
    services.context().timeline().record(kind, all);
  }

  private long now() {
    return services.context().nanoClock().nanoTime();
  }

  Manifest manifest() {
    return manifest;
  }

  String address() {
    return address;
  }

  /** Returns whether the digests of all chunks and of the complete weights are verified. */
  boolean isComplete() {
    return complete;
  }

  synchronized int chunksHeld() {
    return state.held().count();
  }

  synchronized OriginAssignment assignment() {
    return state.assignment();
  }

  TransferCounts counts() {
    return counts;
  }
}
