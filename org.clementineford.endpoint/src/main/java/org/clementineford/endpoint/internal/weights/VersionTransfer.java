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

  private final TransferTools tools;
  private final Manifest manifest;
  private final String address;
  private final TransferState state;
  private final Consumer<VersionTransfer> onWhole;
  private final TransferCounts counts = new TransferCounts();
  private final Map<Long, PeerFetch> peerFetches = new HashMap<>();
  private final Map<Long, CompletableFuture<byte[]>> outsideReads = new HashMap<>();
  private final MapAnnouncer announcer;
  private Scheduler.Cancellable timer;
  private boolean begun;
  private boolean checkingWhole;
  private boolean stopped;
  private volatile boolean whole;

  VersionTransfer(
      TransferTools tools,
      Manifest manifest,
      DistributionPolicy policy,
      Consumer<VersionTransfer> onWhole) {
    this.tools = tools;
    this.manifest = manifest;
    this.address = manifest.address();
    this.onWhole = onWhole;
    this.state =
        new TransferState(
            tools.context().self(), address, manifest.chunks(), policy, tools.limits());
    this.announcer = new MapAnnouncer(tools, manifest, address);
  }

  synchronized void start() {
    tools.store().pin(manifest);
    record(EventKind.TRANSFER_STARTED);
    for (int chunk = 0; chunk < manifest.chunks(); chunk++) {
      if (tools.store().contains(manifest.chunkDigests().get(chunk))) {
        state.markHeld(chunk);
      }
    }
    setMembers(Endpoints.alive(tools.context()));
    timer =
        tools
            .context()
            .scheduler()
            .scheduleWithFixedDelay(
                this::tick, tools.limits().announceNanos(), TimeUnit.NANOSECONDS);
    // A VM that joins late waits for the chunk maps of its peers; otherwise it would read chunks
    // from the origin that its peers hold.
    begun = announcer.announce(state.held(), state.assignment(), false) == 0;
    proceed();
  }

  /** Stops fetching. The chunks stay in the store until their space is needed. */
  synchronized void stop() {
    stopped = true;
    if (timer != null) {
      timer.cancel();
    }
    peerFetches.values().forEach(PeerFetch::cancel);
    peerFetches.clear();
    outsideReads.values().forEach(read -> read.cancel(false));
    outsideReads.clear();
    announcer.close();
    tools.store().unpin(address);
    if (!whole) {
      record(EventKind.TRANSFER_DROPPED);
    }
  }

  synchronized void membersChanged(List<VmIdentity> alive) {
    setMembers(alive);
    announcer.membersChanged();
    proceed();
  }

  private void setMembers(List<VmIdentity> alive) {
    state.setMembers(alive);
    long link = tools.limits().regionLinkBytesPerSecond();
    if (link > 0) {
      String region = tools.context().self().region();
      long vms = alive.stream().filter(vm -> vm.region().equals(region)).count();
      double share = tools.context().configuration().current().policies().transferLinkShare();
      double chunksPerSecond = share * link / (manifest.chunkLength() * (double) vms);
      state.setImportInterval((long) (TimeUnit.SECONDS.toNanos(1) / chunksPerSecond));
    }
  }

  synchronized void permit(List<Integer> chunks) {
    chunks.forEach(state::permitOriginRead);
    proceed();
  }

  synchronized void mapReceived(VmIdentity sender, byte[] bitmap, boolean opening) {
    state.setPeerChunks(sender, ChunkBitmap.fromBytes(bitmap, manifest.chunks()));
    if (opening && !stopped) {
      announcer.tell(sender, state.held(), whole);
    }
    proceed();
  }

  private synchronized void tick() {
    if (!stopped) {
      begun = true;
      announcer.announce(state.held(), state.assignment(), whole);
      proceed();
    }
  }

  private void proceed() {
    if (stopped || whole || !begun) {
      return;
    }
    TransferActions actions = state.plan(now());
    actions.cancelled().forEach(this::giveUp);
    actions.started().forEach(this::startFetch);
    if (state.held().isComplete() && !checkingWhole) {
      checkingWhole = true;
      tools.verifier().execute(this::checkWhole);
    }
  }

  private void startFetch(Fetch fetch) {
    int length = manifest.chunkLength(fetch.chunk());
    if (fetch.kind().isPeer()) {
      PeerFetch peerFetch = new PeerFetch(fetch, address, length, this);
      peerFetches.put(fetch.id(), peerFetch);
      peerFetch.start(tools.context().network());
      return;
    }
    CompletableFuture<byte[]> read =
        tools
            .outside()
            .read(manifest.model(), manifest.version(), manifest.offset(fetch.chunk()), length);
    outsideReads.put(fetch.id(), read);
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
    CompletableFuture<byte[]> read = outsideReads.remove(fetch.id());
    if (read != null) {
      read.cancel(false);
    }
    PeerFetch peerFetch = peerFetches.remove(fetch.id());
    if (peerFetch != null) {
      wasted(peerFetch.cancel());
    }
  }

  private void giveUp(Fetch fetch) {
    cancel(fetch);
    tools
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

  private void wasted(long bytes) {
    counts.wasted(bytes);
    tools.metrics().refetched(bytes);
  }

  @Override
  public synchronized void progressed(Fetch fetch) {
    state.progress(fetch.id(), now());
  }

  @Override
  public void received(Fetch fetch, byte[] bytes) {
    tools.verifier().execute(() -> verify(fetch, bytes));
  }

  private void verify(Fetch fetch, byte[] bytes) {
    String expected = manifest.chunkDigests().get(fetch.chunk());
    if (!Digests.sha256Hex(bytes).equals(expected)) {
      failed(fetch, FetchFailure.CORRUPT, 0, bytes.length);
      return;
    }
    if (!tools.store().put(expected, bytes)) {
      failed(fetch, FetchFailure.BUSY, tools.limits().progressTimeoutNanos(), bytes.length);
      return;
    }
    stored(fetch, bytes.length);
  }

  private synchronized void stored(Fetch fetch, int length) {
    peerFetches.remove(fetch.id());
    outsideReads.remove(fetch.id());
    final boolean alreadyHeld = state.held().holds(fetch.chunk());
    state.succeeded(fetch.id(), now()).forEach(this::cancel);
    // The fetch may have been cancelled while its chunk was being verified.
    state.markHeld(fetch.chunk());
    counts.received(fetch.kind().isPeer(), length);
    tools.metrics().received(fetch.kind().name(), length);
    if (alreadyHeld) {
      wasted(length);
    }
    announcer.gained(fetch);
    if (!fetch.kind().isInRegion()) {
      // The chunk is new to the region, so a delayed announcement delays all VMs of the region.
      announcer.announce(state.held(), state.assignment(), false);
    }
    tools.metrics().held(manifest.model(), manifest.version(), state.held().count());
    proceed();
  }

  @Override
  public synchronized void failed(
      Fetch fetch, FetchFailure outcome, long retryAfterNanos, int wastedBytes) {
    outsideReads.remove(fetch.id());
    if (peerFetches.remove(fetch.id()) == null && fetch.kind().isPeer()) {
      return;
    }
    wasted(wastedBytes);
    state.failed(fetch.id(), outcome, retryAfterNanos, now());
    if (outcome == FetchFailure.CORRUPT) {
      tools
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
    proceed();
  }

  private void checkWhole() {
    MessageDigest digest = Digests.sha256();
    for (int chunk = 0; chunk < manifest.chunks(); chunk++) {
      String chunkDigest = manifest.chunkDigests().get(chunk);
      tools.store().read(chunkDigest, 0, manifest.chunkLength(chunk)).ifPresent(digest::update);
    }
    if (Digests.hex(digest.digest()).equals(manifest.digest())) {
      wholeChecked();
    } else {
      record(EventKind.ACTIVATION_FAILED, "reason", MESSAGES.format("not-one-copy"));
    }
  }

  private void wholeChecked() {
    synchronized (this) {
      if (stopped) {
        return;
      }
      whole = true;
      record(EventKind.TRANSFER_WHOLE);
      announcer.announce(state.held(), state.assignment(), true);
    }
    onWhole.accept(this);
  }

  private void record(EventKind kind, String... details) {
    String[] all = new String[details.length + 4];
    all[0] = "model";
    all[1] = manifest.model();
    all[2] = "version";
    all[3] = manifest.version();
    System.arraycopy(details, 0, all, 4, details.length);
    tools.context().timeline().record(kind, all);
  }

  private long now() {
    return tools.context().nanoClock().nanoTime();
  }

  Manifest manifest() {
    return manifest;
  }

  String address() {
    return address;
  }

  /** Returns whether the digests of all chunks and of the complete weights are verified. */
  boolean isWhole() {
    return whole;
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
