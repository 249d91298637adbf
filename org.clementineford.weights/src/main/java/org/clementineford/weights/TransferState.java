package org.clementineford.weights;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.clementineford.kernel.DistributionPolicy;
import org.clementineford.kernel.VmIdentity;

/**
 * State machine for the transfer of one manifest's chunks to one VM. Callers pass in events and get
 * the fetches to start and to cancel; this class holds no chunk data, opens no connections and
 * reads no clock. Times are nanoseconds of one monotonic clock. Not thread-safe; callers
 * synchronize.
 */
public final class TransferState {
  /**
   * Maximum delay between reads of a failing origin. A reader that still waits when the origin is
   * available again delays all VMs, since the others wait for its chunks.
   */
  private static final long MAX_ORIGIN_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  private final VmIdentity self;
  private final int chunks;
  private final TransferLimits limits;
  private final ChunkBitmap held;
  private final BitSet missing;
  private final SwarmView swarm;
  private final AssignedReads assigned;
  private final SourceSelection selection;
  private final ImportRateLimiter importLimiter = new ImportRateLimiter();
  private final RunningFetches running;
  private final Set<String> lostVms = new HashSet<>();
  private final Set<String> departedVms = new HashSet<>();
  private final Map<String, VmIdentity> knownMembers = new TreeMap<>();
  private long originRetryNanos = Long.MIN_VALUE;
  private long originBackoffNanos;

  /**
   * Creates the state of a transfer without any chunks held.
   *
   * @param self this VM
   * @param manifestAddress content address of the manifest
   * @param chunks number of chunks
   * @param policy whether to save origin traffic or time first
   * @param limits limits of the transfers of this VM
   */
  public TransferState(
      VmIdentity self,
      String manifestAddress,
      int chunks,
      DistributionPolicy policy,
      TransferLimits limits) {
    this.self = self;
    this.chunks = chunks;
    this.limits = limits;
    this.originBackoffNanos = limits.announceNanos();
    this.held = new ChunkBitmap(chunks);
    this.missing = new BitSet(chunks);
    this.missing.set(0, chunks);
    this.swarm = new SwarmView(self, chunks);
    this.assigned =
        new AssignedReads(self, manifestAddress, policy, chunks, limits.takeoverDelayNanos());
    this.selection =
        new SourceSelection(
            swarm, limits, RendezvousHash.seed(self.vm() + self.incarnation() + manifestAddress));
    this.running = new RunningFetches(swarm, limits, chunks);
  }

  /**
   * Sets the live endpoint VMs.
   *
   * @param live members that are not dead; may or may not include this VM
   */
  public void setMembers(Collection<VmIdentity> live) {
    Set<String> names = new HashSet<>();
    for (VmIdentity member : live) {
      names.add(member.vm());
      knownMembers.put(member.vm(), member);
    }
    departedVms.clear();
    departedVms.addAll(knownMembers.keySet());
    departedVms.removeAll(names);
    swarm.setMembers(live);
    assign();
  }

  private void assign() {
    Set<String> lostOrDeparted = new HashSet<>(lostVms);
    lostOrDeparted.addAll(departedVms);
    lostOrDeparted.remove(self.vm());
    assigned.setMembers(List.copyOf(knownMembers.values()), lostOrDeparted);
  }

  /**
   * Sets the chunks that a peer holds.
   *
   * @param sender the peer
   * @param map chunks of this manifest that the peer holds
   */
  public void setPeerChunks(VmIdentity sender, ChunkBitmap map) {
    if (sender.vm().equals(self.vm())) {
      return;
    }
    swarm.setMap(sender, map);
    if (lostVms.remove(sender.vm())) {
      assign();
    }
  }

  /**
   * Sets the minimum interval between fetches from another region.
   *
   * @param nanos interval between two fetches from the same region; 0 for no limit
   */
  public void setImportInterval(long nanos) {
    importLimiter.setInterval(nanos);
  }

  /**
   * Allows this VM to read a chunk from the origin that is assigned to another VM.
   *
   * @param chunk number of the chunk; ignored if out of range
   */
  public void permitOriginRead(int chunk) {
    if (chunk >= 0 && chunk < chunks) {
      assigned.permit(chunk);
    }
  }

  /**
   * Marks a chunk as held after its verification, whether fetched or reused from another version.
   *
   * @param chunk number of the chunk
   * @return false if it was held already
   */
  public boolean markHeld(int chunk) {
    missing.clear(chunk);
    return held.add(chunk);
  }

  /**
   * Records that bytes of a fetch arrived.
   *
   * @param id number of the fetch
   * @param now monotonic time
   */
  public void progress(long id, long now) {
    running.progress(id, now);
  }

  /**
   * Ends a fetch whose chunk was verified, together with other fetches of the same chunk.
   *
   * @param id number of the fetch
   * @param now monotonic time
   * @return the other fetches of the same chunk, which the caller cancels
   */
  public List<Fetch> succeeded(long id, long now) {
    Fetch done = running.succeed(id, now);
    if (done == null) {
      return List.of();
    }
    if (!done.kind().isPeer()) {
      originBackoffNanos = limits.announceNanos();
    }
    markHeld(done.chunk());
    List<Fetch> obsolete = running.ofChunk(done.chunk());
    obsolete.forEach(fetch -> running.end(fetch.id()));
    return obsolete;
  }

  /**
   * Ends a fetch that failed.
   *
   * @param id number of the fetch
   * @param failure reason of the failure
   * @param retryAfterNanos delay that the sender requested; 0 for none
   * @param now monotonic time
   */
  public void failed(long id, FetchFailure failure, long retryAfterNanos, long now) {
    Fetch done = failure == FetchFailure.SILENT ? running.timeOut(id, now) : running.end(id);
    if (done == null) {
      return;
    }
    if (!done.kind().isPeer()) {
      originRetryNanos = now + Math.max(retryAfterNanos, originBackoffNanos);
      originBackoffNanos = Math.min(2 * originBackoffNanos, MAX_ORIGIN_BACKOFF_NANOS);
      return;
    }
    SwarmPeer peer = swarm.find(done.peer());
    if (peer != null) {
      penalize(peer, failure, retryAfterNanos, now);
    }
  }

  private void penalize(SwarmPeer peer, FetchFailure outcome, long retryAfterNanos, long now) {
    switch (outcome) {
      case CORRUPT, SILENT -> peer.avoid(now, limits.penaltyNanos(), limits.progressTimeoutNanos());
      case BUSY -> peer.busyUntil(now + retryAfterNanos);
      case ABSENT -> swarm.forgetMap(peer);
      case LOST -> {
        swarm.forgetMap(peer);
        if (lostVms.add(peer.identity().vm())) {
          assign();
        }
      }
      default -> throw new IllegalStateException("unhandled outcome " + outcome);
    }
  }

  /** Ends the penalties of peers whose chunks were rejected because of a wrong digest. */
  public void forgivePeers() {
    swarm.forgivePeers();
  }

  /**
   * Decides which fetches to start and to cancel. Called after each event and at least once in each
   * announce interval.
   *
   * @param now monotonic time
   * @return fetches to cancel and to start
   */
  public TransferActions plan(long now) {
    List<Fetch> cancelled = abandonTimedOut(now);
    if (held.isComplete()) {
      return new TransferActions(cancelled, List.of());
    }
    List<Fetch> started = new ArrayList<>();
    BitSet unrequested = new BitSet(chunks);
    unrequested.or(missing);
    running.all().forEach(fetch -> unrequested.clear(fetch.chunk()));
    readFromOutside(unrequested, started, now);
    fetchFromPeers(unrequested, SourceKind::isInRegion, limits.localFetches(), started, now);
    if (unrequested.isEmpty()) {
      endGame(started, now);
    }
    return new TransferActions(cancelled, started);
  }

  private List<Fetch> abandonTimedOut(long now) {
    List<Fetch> timedOut = running.timedOut(now);
    timedOut.forEach(fetch -> failed(fetch.id(), FetchFailure.SILENT, 0, now));
    return timedOut;
  }

  private void readFromOutside(BitSet unrequested, List<Fetch> started, long now) {
    BitSet absent = new BitSet(chunks);
    for (int chunk = missing.nextSetBit(0); chunk >= 0; chunk = missing.nextSetBit(chunk + 1)) {
      absent.set(chunk, swarm.copiesInRegion(chunk) == 0);
    }
    assigned.update(absent, now);
    absent.and(unrequested);
    BitSet imports = new BitSet(chunks);
    List<Integer> originReads = new ArrayList<>();
    for (int chunk = absent.nextSetBit(0); chunk >= 0; chunk = absent.nextSetBit(chunk + 1)) {
      if (swarm.copiesElsewhere(chunk) > 0) {
        imports.set(chunk, assigned.mayImport(chunk, now));
      } else if (assigned.mayReadOrigin(chunk, now)) {
        originReads.add(chunk);
      }
    }
    int before = started.size();
    fetchFromPeers(imports, kind -> !kind.isInRegion(), selection.importFetches(), started, now);
    started.subList(before, started.size()).forEach(fetch -> unrequested.clear(fetch.chunk()));
    readOrigin(originReads, unrequested, started, now);
  }

  private void readOrigin(
      List<Integer> chunksToRead, BitSet unrequested, List<Fetch> started, long now) {
    for (int chunk : chunksToRead) {
      if (running.count(SourceKind.ORIGIN) >= limits.originFetches() || now < originRetryNanos) {
        return;
      }
      unrequested.clear(chunk);
      started.add(start(chunk, SourceKind.ORIGIN, null, now));
    }
  }

  private void fetchFromPeers(
      BitSet wanted, Predicate<SourceKind> kinds, int limit, List<Fetch> started, long now) {
    while (running.countPeers(kinds) < limit) {
      Optional<SourceSelection.Choice> choice =
          selection.choose(wanted, peer -> kinds.test(peer.kind()) && mayFetchNow(peer, now), now);
      if (choice.isEmpty()) {
        return;
      }
      SwarmPeer peer = choice.get().peer();
      wanted.clear(choice.get().chunk());
      started.add(start(choice.get().chunk(), peer.kind(), peer.identity(), now));
    }
  }

  private boolean mayFetchNow(SwarmPeer peer, long now) {
    return peer.kind().isInRegion() || importLimiter.mayStart(peer.identity().region(), now);
  }

  /** Requests slow chunks from a second peer once every missing chunk is being fetched. */
  private void endGame(List<Fetch> started, long now) {
    BitSet slow = running.slowSingleFetches(2 * limits.announceNanos(), now);
    fetchFromPeers(slow, SourceKind::isInRegion, limits.localFetches(), started, now);
  }

  private Fetch start(int chunk, SourceKind kind, VmIdentity peer, long now) {
    if (kind == SourceKind.PEER_ELSEWHERE) {
      importLimiter.started(peer.region(), now);
    }
    return running.start(chunk, kind, peer, now);
  }

  /**
   * Returns the verified chunks.
   *
   * @return the map used by this object, not a copy; callers must not modify it
   */
  public ChunkBitmap held() {
    return held;
  }

  /**
   * Returns the assignment of chunks to the VMs that read them from outside their region.
   *
   * @return the assignment for the members set last
   */
  public OriginAssignment assignment() {
    return assigned.assignment();
  }

  /**
   * Returns the fetches in progress.
   *
   * @return in no particular order
   */
  public List<Fetch> running() {
    return running.all();
  }
}
