package org.clementineford.weights;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.clementineford.kernel.VmIdentity;

/** Fetches of a transfer that are in progress. */
final class RunningFetches {
  /**
   * Multiple of the progress timeout, or of the slowest fetch if that took longer, after which a
   * fetch from outside the region is abandoned.
   */
  private static final int OUTSIDE_TIMEOUT_FACTOR = 4;

  /**
   * Multiple of the timeout after which a fetch is abandoned although its sender sends other
   * chunks.
   */
  private static final int QUEUE_TIMEOUT_FACTOR = 4;

  private final SwarmView swarm;
  private final TransferLimits limits;
  private final Map<Long, RunningFetch> running = new HashMap<>();
  private final int[] fetchesOfChunk;
  private final Map<SourceKind, Integer> fetchesOfKind = new HashMap<>();
  private final Map<SourceKind, Long> slowestNanos = new HashMap<>();
  private long nextId = 1;

  RunningFetches(SwarmView swarm, TransferLimits limits, int chunks) {
    this.swarm = swarm;
    this.limits = limits;
    this.fetchesOfChunk = new int[chunks];
  }

  Fetch start(int chunk, SourceKind kind, VmIdentity peer, long now) {
    Fetch fetch = new Fetch(nextId++, chunk, kind, peer);
    running.put(fetch.id(), new RunningFetch(fetch, now));
    fetchesOfChunk[chunk]++;
    fetchesOfKind.merge(kind, 1, Integer::sum);
    if (peer != null) {
      swarm.find(peer).addOutstanding(1);
    }
    return fetch;
  }

  /** Ends a fetch and returns it, or null if it has already ended. */
  Fetch end(long id) {
    RunningFetch done = running.remove(id);
    if (done == null) {
      return null;
    }
    Fetch fetch = done.fetch;
    fetchesOfChunk[fetch.chunk()]--;
    fetchesOfKind.merge(fetch.kind(), -1, Integer::sum);
    SwarmPeer peer = sender(fetch);
    if (peer != null) {
      peer.addOutstanding(-1);
    }
    return fetch;
  }

  /**
   * Ends a fetch that timed out and returns it, or null if it has already ended. Later fetches from
   * sources of the same kind get more time, since a saturated link would otherwise carry the same
   * chunks repeatedly.
   */
  Fetch timeOut(long id, long now) {
    RunningFetch fetch = running.get(id);
    if (fetch != null) {
      slowestNanos.merge(fetch.fetch.kind(), now - fetch.startedNanos, Math::max);
    }
    return end(id);
  }

  /** Ends a fetch whose chunk was verified and returns it, or null if it has already ended. */
  Fetch succeed(long id, long now) {
    RunningFetch done = running.get(id);
    if (done != null) {
      slowestNanos.merge(done.fetch.kind(), now - done.startedNanos, Math::max);
    }
    return end(id);
  }

  void progress(long id, long now) {
    RunningFetch fetch = running.get(id);
    if (fetch != null) {
      fetch.lastProgressNanos = now;
      SwarmPeer peer = sender(fetch.fetch);
      if (peer != null) {
        peer.progressed(now);
      }
    }
  }

  private SwarmPeer sender(Fetch fetch) {
    return fetch.peer() == null ? null : swarm.find(fetch.peer());
  }

  List<Fetch> timedOut(long now) {
    return running.values().stream()
        .filter(fetch -> isTimedOut(fetch, now))
        .map(fetch -> fetch.fetch)
        .toList();
  }

  /**
   * Returns whether a fetch has timed out. A fetch may wait in the sender's queue while other
   * chunks arrive from the same sender: with five VMs, fetches waited 0.9 s for busy but healthy
   * VMs.
   */
  private boolean isTimedOut(RunningFetch fetch, long now) {
    long timeout = timeout(fetch.fetch.kind());
    long waited = now - fetch.lastProgressNanos;
    SwarmPeer peer = sender(fetch.fetch);
    boolean senderSilent = peer == null || now - peer.lastProgressNanos() >= timeout;
    return waited >= timeout && (senderSilent || waited >= QUEUE_TIMEOUT_FACTOR * timeout);
  }

  /**
   * Returns how long a fetch may go without receiving a byte. Links between regions and to the
   * origin are shared by many VMs, so a fetch over them waits for others and gets a multiple of the
   * progress timeout, or of the slowest earlier fetch of its kind if that took longer.
   */
  private long timeout(SourceKind kind) {
    if (kind.isInRegion()) {
      return limits.progressTimeoutNanos();
    }
    long slowest = slowestNanos.getOrDefault(kind, 0L);
    return OUTSIDE_TIMEOUT_FACTOR * Math.max(limits.progressTimeoutNanos(), slowest);
  }

  /** Returns the chunks with exactly one fetch that has received no byte for the given time. */
  BitSet slowSingleFetches(long nanos, long now) {
    BitSet chunks = new BitSet(fetchesOfChunk.length);
    for (RunningFetch fetch : running.values()) {
      int chunk = fetch.fetch.chunk();
      chunks.set(chunk, fetchesOfChunk[chunk] == 1 && now - fetch.lastProgressNanos >= nanos);
    }
    return chunks;
  }

  List<Fetch> ofChunk(int chunk) {
    return all().stream().filter(fetch -> fetch.chunk() == chunk).toList();
  }

  List<Fetch> all() {
    Collection<RunningFetch> values = running.values();
    List<Fetch> fetches = new ArrayList<>(values.size());
    values.forEach(fetch -> fetches.add(fetch.fetch));
    return fetches;
  }

  int count(SourceKind kind) {
    return fetchesOfKind.getOrDefault(kind, 0);
  }

  int countPeers(Predicate<SourceKind> kinds) {
    int sum = 0;
    for (SourceKind kind : SourceKind.values()) {
      sum += kind.isPeer() && kinds.test(kind) ? count(kind) : 0;
    }
    return sum;
  }

  private static final class RunningFetch {
    private final Fetch fetch;
    private final long startedNanos;
    private long lastProgressNanos;

    RunningFetch(Fetch fetch, long now) {
      this.fetch = fetch;
      this.startedNanos = now;
      this.lastProgressNanos = now;
    }
  }
}
