package org.clementineford.replica.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.weights.ChunkBitmap;
import org.clementineford.wire.ChunkHoldings;
import org.clementineford.wire.FleetDatagram;

/** Announces the chunks that this VM holds to other endpoint VMs. Not thread-safe. */
final class HoldingsAnnouncer {
  /** One in this many announcements goes to other regions too; links to them have low bandwidth. */
  private static final int REMOTE_ANNOUNCE_INTERVAL = 4;

  /** Interval between announcements of unchanged holdings; any datagram may be lost. */
  private static final long REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private static final long REPEAT_COMPLETE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  private final WeightRollout rollout;
  private final NanoClock clock;
  private final VmIdentity self;
  private final int datagramPort;
  private final BiConsumer<HostPort, FleetDatagram> sender;
  private final Map<Long, Announcement> announced = new HashMap<>();
  private long announcements;

  private record Announcement(int chunks, long sentAt) {}

  /**
   * Creates an instance without earlier announcements.
   *
   * @param rollout transfers of this VM
   * @param clock monotonic clock
   * @param self this VM
   * @param datagramPort UDP port of each endpoint VM
   * @param sender sends a datagram to an address
   */
  HoldingsAnnouncer(
      WeightRollout rollout,
      NanoClock clock,
      VmIdentity self,
      int datagramPort,
      BiConsumer<HostPort, FleetDatagram> sender) {
    this.rollout = rollout;
    this.clock = clock;
    this.self = self;
    this.datagramPort = datagramPort;
    this.sender = sender;
  }

  /** Announces holdings that changed since the last call, and others at the repeat interval. */
  void announce(Iterable<VmIdentity> replicas) {
    announcements++;
    for (ChunkTransfer transfer : rollout.transfers()) {
      if (!isDue(transfer)) {
        continue;
      }
      FleetDatagram datagram = holdings(transfer);
      for (VmIdentity replica : replicas) {
        boolean sameRegion = replica.region().equals(self.region());
        if (sameRegion || transfer.isComplete() || announcements % REMOTE_ANNOUNCE_INTERVAL == 0) {
          sender.accept(new HostPort(replica.vm(), datagramPort), datagram);
        }
      }
    }
  }

  private boolean isDue(ChunkTransfer transfer) {
    long version = transfer.digests().version();
    int held = transfer.chunksHeld();
    long now = clock.nanoTime();
    Announcement before = announced.get(version);
    if (before != null
        && before.chunks == held
        && now - before.sentAt < (transfer.isComplete() ? REPEAT_COMPLETE_NANOS : REPEAT_NANOS)) {
      return false;
    }
    announced.put(version, new Announcement(held, now));
    return true;
  }

  /**
   * Answers the announcement of a VM that lacks chunks, if this VM holds all chunks of the version.
   * Otherwise a VM that joins would wait until it appears in this VM's copy of the endpoint list.
   */
  void answer(HostPort peer, ChunkHoldings holdings) {
    if (ChunkBitmap.fromBytes(holdings.getBitmap(), holdings.getChunks()).isComplete()) {
      return;
    }
    for (ChunkTransfer transfer : rollout.transfers()) {
      if (transfer.digests().version() == holdings.getVersion() && transfer.isComplete()) {
        sender.accept(peer, holdings(transfer));
      }
    }
  }

  private FleetDatagram holdings(ChunkTransfer transfer) {
    FleetDatagram datagram = new FleetDatagram();
    datagram.setHoldings(
        new ChunkHoldings()
            .setModel(rollout.model())
            .setVersion(transfer.digests().version())
            .setChunks(transfer.chunkCount())
            .setBitmap(transfer.bitmap()));
    return datagram;
  }
}
