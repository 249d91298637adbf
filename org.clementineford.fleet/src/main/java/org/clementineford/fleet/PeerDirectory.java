package org.clementineford.fleet;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.serving.directory.DirectoryCopyState;
import org.clementineford.serving.directory.ObjectKind;
import org.clementineford.serving.directory.StoredEntry;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpExchange;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.wire.DirectoryCopies;
import org.clementineford.wire.DirectoryCopy;
import org.clementineford.wire.DirectoryObject;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Gives copies of platform objects to peers, and takes them from peers while the platform does not
 * answer this VM. A copy carries the time since it was proven to be current, so that trust in it
 * ends in time wherever it came from.
 */
public final class PeerDirectory {
  /** Path at which peers ask for copies. */
  public static final String PATH = "/directory";

  private static final Logger LOG = LoggerFactory.getLogger(PeerDirectory.class);
  private static final long INTERVAL_MS = 300;

  /** Timeout of a call to a peer; above the delay of a busy link, below an interval or two. */
  private static final long TIMEOUT_MS = 600;

  private final DirectorySync sync;
  private final HttpClient client;
  private final Scheduler scheduler;
  private final NanoClock clock;
  private final DoubleSupplier random;
  private final HostPort self;
  private final long staleNanos;
  private final Set<HostPort> peers = new LinkedHashSet<>();

  /**
   * Creates the exchange.
   *
   * @param sync copies to give and to complete
   * @param client connections to peers
   * @param scheduler timer on the thread of the copies
   * @param clock monotonic clock
   * @param random numbers of at least 0 and below 1
   * @param self address at which this VM answers its peers
   * @param staleMs age of a copy from which peers are asked, in milliseconds
   */
  public PeerDirectory(
      DirectorySync sync,
      HttpClient client,
      Scheduler scheduler,
      NanoClock clock,
      DoubleSupplier random,
      HostPort self,
      long staleMs) {
    this.sync = sync;
    this.client = client;
    this.scheduler = scheduler;
    this.clock = clock;
    this.random = random;
    this.self = self;
    this.staleNanos = TimeUnit.MILLISECONDS.toNanos(staleMs);
  }

  /** Starts to ask peers whenever a copy is stale. */
  public void start() {
    scheduler.scheduleEvery(this::refresh, INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Adds peers to ask.
   *
   * @param addresses where they answer
   */
  public void addPeers(Iterable<HostPort> addresses) {
    for (HostPort address : addresses) {
      if (!address.equals(self)) {
        peers.add(address);
      }
    }
  }

  /**
   * Adds the entry VMs that the platform lists.
   *
   * @param entries entries of entry VMs
   * @param decoder decodes them; those that it cannot read are left out
   */
  public void addListed(Iterable<StoredEntry> entries, DirectoryDecoder decoder) {
    List<HostPort> addresses = new ArrayList<>();
    entries.forEach(entry -> decoder.entryVm(entry).ifPresent(addresses::add));
    addPeers(addresses);
  }

  /**
   * Returns the number of peers.
   *
   * @return entry VMs that were ever known, without this one
   */
  public int size() {
    return peers.size();
  }

  private void refresh() {
    long now = clock.nanoTime();
    List<ObjectKind> stale = new ArrayList<>();
    for (ObjectKind kind : sync.kinds()) {
      if (kind != ObjectKind.ENTRY_VMS && sync.copy(kind).ageNanos(now) > staleNanos) {
        stale.add(kind);
      }
    }
    if (stale.isEmpty() || peers.isEmpty()) {
      return;
    }
    List<HostPort> all = List.copyOf(peers);
    int first = (int) (random.getAsDouble() * all.size());
    for (int i = 0; i < Math.min(2, all.size()); i++) {
      ask(all.get((first + i) % all.size()), stale);
    }
  }

  private void ask(HostPort peer, List<ObjectKind> kinds) {
    final long sentAt = clock.nanoTime();
    StringBuilder query = new StringBuilder(PATH).append("?vm=").append(self);
    for (ObjectKind kind : kinds) {
      query.append('&').append(kind).append('=').append(sync.copy(kind).revision());
    }
    client
        .call(peer, new HttpRequest("GET", query.toString(), Map.of(), new byte[0]), TIMEOUT_MS)
        .whenComplete(
            (response, failure) -> {
              if (failure != null || response.status() != 200) {
                LOG.debug("no copies from {}", peer, failure);
                return;
              }
              try {
                take(ThriftBytes.decode(new DirectoryCopies(), response.body()), sentAt);
              } catch (ClementinefordException e) {
                LOG.atWarn().addKeyValue("peer", peer).log("copies of a peer dropped", e);
              }
            });
  }

  private void take(DirectoryCopies copies, long sentAt) throws ClementinefordException {
    for (String address : copies.getEntryVms()) {
      addPeers(List.of(HostPort.parse(address)));
    }
    for (DirectoryCopy copy : copies.getCopies()) {
      List<StoredEntry> entries = null;
      if (copy.isSetObjects()) {
        entries = new ArrayList<>();
        for (DirectoryObject object : copy.getObjects()) {
          entries.add(
              new StoredEntry(object.getName(), object.getRevision(), object.getContent(), false));
        }
      }
      long provenAt = sentAt - TimeUnit.MILLISECONDS.toNanos(copy.getProvenAgeMs() + 1);
      sync.fromPeer(ObjectKind.valueOf(copy.getKind()), copy.getRevision(), entries, provenAt);
    }
  }

  /**
   * Answers a peer.
   *
   * @param exchange request with the path {@link #PATH}
   */
  public void answer(HttpExchange exchange) {
    DirectoryCopies copies = new DirectoryCopies().setEntryVms(new ArrayList<>());
    copies.setCopies(new ArrayList<>());
    HttpRequest request = exchange.request();
    for (ObjectKind kind : sync.kinds()) {
      String known = request.query(kind.name(), "");
      DirectoryCopyState copy = sync.copy(kind);
      if (!known.isEmpty() && copy.isKnown()) {
        copies.addToCopies(encode(kind, copy, Long.parseLong(known)));
      }
    }
    peers.forEach(peer -> copies.addToEntryVms(peer.toString()));
    copies.addToEntryVms(self.toString());
    exchange.respond(200, Map.of(), ThriftBytes.encode(copies));
  }

  private DirectoryCopy encode(ObjectKind kind, DirectoryCopyState copy, long known) {
    DirectoryCopy encoded =
        new DirectoryCopy()
            .setKind(kind.name())
            .setRevision(copy.revision())
            .setProvenAgeMs(TimeUnit.NANOSECONDS.toMillis(copy.ageNanos(clock.nanoTime())) + 1);
    if (copy.revision() > known) {
      encoded.setObjects(new ArrayList<>());
      for (StoredEntry entry : copy.entries()) {
        encoded.addToObjects(
            new DirectoryObject()
                .setName(entry.name())
                .setRevision(entry.revision())
                .setContent(entry.content()));
      }
    }
    return encoded;
  }
}
