package org.clementineford.endpoint.internal.weights;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.transport.Exchange;
import org.clementineford.transport.ExchangeFailure;
import org.clementineford.transport.ExchangeListener;
import org.clementineford.weights.ChunkBitmap;
import org.clementineford.weights.Fetch;
import org.clementineford.weights.Manifest;
import org.clementineford.weights.OriginAssignment;
import org.clementineford.weights.RendezvousHash;
import org.clementineford.wire.Payload;

/**
 * Sends chunk maps, which list the chunks that this VM holds, to peers.
 *
 * <p>Neighbours in the region receive a map after each change. The VMs that import a chunk into
 * other regions receive one after this VM has read that chunk from the origin. Every 500 ms, two
 * VMs chosen at random receive one, which makes up for lost maps. The entry VMs of the data centre
 * receive one when the copy is complete. The exchange with each peer stays open for later maps.
 *
 * <p>Not thread-safe; callers synchronize.
 */
final class MapAnnouncer {
  private static final long REPAIR_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final int REPAIR_PEERS = 2;

  /** Maximum rate of the chunk maps of a transfer; large bitmaps are sent less often. */
  private static final long MAX_BYTES_PER_SECOND = 256 << 10;

  /** Assumed size of a chunk map without its bitmap. */
  private static final int MAP_OVERHEAD_BYTES = 250;

  private final TransferServices services;
  private final Manifest manifest;
  private final String address;
  private final SplittableRandom random;
  private final Map<HostPort, Exchange> exchanges = new HashMap<>();
  private final Set<HostPort> closedReceivers = new HashSet<>();
  private final Set<HostPort> unanswered = ConcurrentHashMap.newKeySet();
  private final List<Integer> readFromOrigin = new ArrayList<>();
  private int announcedChunks = -1;
  private boolean announcedComplete;
  private boolean membersChanged;
  private boolean first = true;
  private long lastRepairNanos;
  private long nextAnnouncementNanos = Long.MIN_VALUE;

  MapAnnouncer(TransferServices services, Manifest manifest, String address) {
    this.services = services;
    this.manifest = manifest;
    this.address = address;
    this.random = new SplittableRandom(RendezvousHash.seed(services.context().self().vm()));
    this.lastRepairNanos = services.context().nanoClock().nanoTime();
  }

  void chunkStored(Fetch fetch) {
    if (!fetch.kind().isPeer()) {
      readFromOrigin.add(fetch.chunk());
    }
  }

  void membersChanged() {
    membersChanged = true;
  }

  /** Sends the chunk map to one peer. */
  void announceTo(VmIdentity receiver, ChunkBitmap held, boolean complete) {
    send(held, complete, List.of(receiver));
  }

  /** Records that a peer sent its chunk map. */
  void mapReceived(HostPort peer) {
    unanswered.remove(peer);
  }

  /** Returns whether receivers of the first chunk map have not answered it. */
  boolean awaitsAnswers() {
    return !unanswered.isEmpty();
  }

  /** Sends the chunk map to the peers that need an update. */
  void announce(ChunkBitmap held, OriginAssignment assignment, boolean complete) {
    long now = services.context().nanoClock().nanoTime();
    if (now < nextAnnouncementNanos && !complete) {
      return;
    }
    boolean changed =
        held.count() != announcedChunks || complete != announcedComplete || membersChanged;
    boolean repair = now - lastRepairNanos >= REPAIR_NANOS;
    if (!changed && !repair) {
      return;
    }
    Map<String, VmIdentity> receivers = new LinkedHashMap<>();
    if (changed) {
      neighbours().forEach(vm -> receivers.put(vm.vm(), vm));
      for (int chunk : readFromOrigin) {
        assignment.importers(chunk).forEach(vm -> receivers.put(vm.vm(), vm));
      }
      readFromOrigin.clear();
    }
    if (repair) {
      lastRepairNanos = now;
      repairPeers().forEach(vm -> receivers.put(vm.vm(), vm));
    }
    if (complete) {
      MemberFilters.entryVmsInDataCentre(services.context())
          .forEach(vm -> receivers.put(vm.vm(), vm));
    }
    announcedChunks = held.count();
    announcedComplete = complete;
    membersChanged = false;
    send(held, complete, receivers.values());
    first = false;
    long bytes = (long) receivers.size() * (held.toBytes().length + MAP_OVERHEAD_BYTES);
    nextAnnouncementNanos = now + bytes * TimeUnit.SECONDS.toNanos(1) / MAX_BYTES_PER_SECOND;
  }

  private void send(ChunkBitmap held, boolean complete, Collection<VmIdentity> receivers) {
    byte[] bitmap = held.toBytes();
    for (VmIdentity receiver : receivers) {
      org.clementineford.wire.ChunkMap map =
          new org.clementineford.wire.ChunkMap(
              services.context().network().self(),
              manifest.model(),
              manifest.version(),
              address,
              ByteBuffer.wrap(bitmap),
              complete);
      send(receiver.address(), Payload.chunkMap(map));
    }
  }

  private void send(HostPort receiver, Payload payload) {
    synchronized (closedReceivers) {
      if (closedReceivers.remove(receiver)) {
        exchanges.remove(receiver);
      }
    }
    if (first) {
      unanswered.add(receiver);
    }
    Exchange open = exchanges.get(receiver);
    if (open != null) {
      open.send(payload);
    } else {
      exchanges.put(
          receiver, services.context().network().open(receiver, payload, new Listener(receiver)));
    }
  }

  private List<VmIdentity> neighbours() {
    VmIdentity self = services.context().self();
    List<VmIdentity> region = new ArrayList<>();
    for (VmIdentity vm : MemberFilters.aliveEndpoints(services.context())) {
      if (vm.region().equals(self.region()) && !vm.vm().equals(self.vm())) {
        region.add(vm);
      }
    }
    if (region.size() <= services.limits().neighbours()) {
      return region;
    }
    Map<String, VmIdentity> byName = new HashMap<>();
    region.forEach(vm -> byName.put(vm.vm(), vm));
    return RendezvousHash.order(List.copyOf(byName.keySet()), self.vm()).stream()
        .limit(services.limits().neighbours())
        .map(byName::get)
        .toList();
  }

  private List<VmIdentity> repairPeers() {
    VmIdentity self = services.context().self();
    List<VmIdentity> others = new ArrayList<>();
    for (VmIdentity vm : MemberFilters.aliveEndpoints(services.context())) {
      if (!vm.vm().equals(self.vm())) {
        others.add(vm);
      }
    }
    List<VmIdentity> chosen = new ArrayList<>();
    for (int i = 0; i < REPAIR_PEERS && !others.isEmpty(); i++) {
      chosen.add(others.remove(random.nextInt(others.size())));
    }
    return chosen;
  }

  void close() {
    exchanges.values().forEach(Exchange::cancel);
    exchanges.clear();
  }

  private final class Listener implements ExchangeListener {
    private final HostPort receiver;

    Listener(HostPort receiver) {
      this.receiver = receiver;
    }

    @Override
    public void onPayload(Payload payload, boolean last) {
      unanswered.remove(receiver);
      if (last) {
        markClosed();
      }
    }

    @Override
    public void onFailure(ExchangeFailure failure) {
      unanswered.remove(receiver);
      markClosed();
    }

    private void markClosed() {
      synchronized (closedReceivers) {
        closedReceivers.add(receiver);
      }
    }
  }
}
