package org.clementineford.fleet;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.ToLongFunction;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.serving.directory.DirectoryCopyState;
import org.clementineford.serving.directory.DirectoryEntry;
import org.clementineford.serving.directory.HistoryPosition;
import org.clementineford.serving.directory.ObjectKind;
import org.clementineford.transport.http.HttpExchange;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;
import org.clementineford.wire.DirectoryCopies;
import org.clementineford.wire.DirectoryCopy;
import org.clementineford.wire.DirectoryObject;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges copies of platform objects with peers: serves local copies to them, and fetches theirs
 * while the platform does not answer this VM. Each copy carries the time since it was last known to
 * be current, so that a copy expires in time no matter how many VMs passed it on.
 */
public final class DirectoryExchange {
  /** HTTP path at which peers request copies. */
  public static final String PATH = "/directory";

  /** Suffix of the query parameter with the operators' versions of a kind's objects. */
  private static final String VERSIONS_SUFFIX = ".versions";

  /** Query parameter of VMs that can read compressed objects. */
  private static final String COMPRESSED = "compressed";

  private static final Logger LOG = LoggerFactory.getLogger(DirectoryExchange.class);

  /** Interval at which the age of the copies is checked, in milliseconds. */
  private static final long CHECK_INTERVAL_MS = 300;

  /** Timeout of a call to a peer; above the delay of a busy link, at most two intervals. */
  private static final long TIMEOUT_MS = 600;

  private final DirectorySync sync;
  private final PeerClient client;
  private final Scheduler scheduler;
  private final NanoClock clock;
  private final DoubleSupplier random;
  private final HostPort self;
  private final ToLongFunction<ObjectKind> staleNanos;
  private final Set<HostPort> peers = new LinkedHashSet<>();

  /** The last answer of each kind, since many peers ask for the same one. */
  private final Map<ObjectKind, CompressedCopy> compressed = new EnumMap<>(ObjectKind.class);

  private record CompressedCopy(HistoryPosition position, byte[] objects) {}

  /** Sends requests to peers. */
  @FunctionalInterface
  public interface PeerClient {
    /**
     * Sends a request.
     *
     * @param peer address of the peer
     * @param request the request
     * @param timeoutMs longest time until the response is complete, in milliseconds
     * @return future of the response
     */
    CompletableFuture<HttpResponse> call(HostPort peer, HttpRequest request, long timeoutMs);
  }

  /**
   * Creates the exchange.
   *
   * @param sync local copies to serve and to update
   * @param client sends requests to peers
   * @param scheduler runs timers on the thread that uses {@code sync}
   * @param clock monotonic clock
   * @param random random numbers from 0 inclusive to 1 exclusive
   * @param self address at which this VM answers its peers
   * @param staleNanos age of each kind above which a copy is requested from peers, in nanoseconds
   */
  public DirectoryExchange(
      DirectorySync sync,
      PeerClient client,
      Scheduler scheduler,
      NanoClock clock,
      DoubleSupplier random,
      HostPort self,
      ToLongFunction<ObjectKind> staleNanos) {
    this.sync = sync;
    this.client = client;
    this.scheduler = scheduler;
    this.clock = clock;
    this.random = random;
    this.self = self;
    this.staleNanos = staleNanos;
  }

  /** Starts to request copies from peers whenever a local copy is stale. */
  public void start() {
    scheduler.scheduleWithFixedDelay(
        this::requestStaleCopies, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Adds peers from which copies are requested.
   *
   * @param addresses addresses of the peers; this VM's own address is skipped
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
   * @param decoder decodes the entries; entries without a valid address are skipped
   */
  public void addEntryVms(Iterable<DirectoryEntry> entries, DirectoryDecoder decoder) {
    List<HostPort> addresses = new ArrayList<>();
    entries.forEach(entry -> decoder.entryVm(entry).ifPresent(vm -> addresses.add(vm.address())));
    addPeers(addresses);
  }

  /**
   * Returns the number of peers.
   *
   * @return all entry VMs known since the start, not counting this one
   */
  public int peerCount() {
    return peers.size();
  }

  /**
   * Returns the addresses of the peers.
   *
   * @return addresses of the entry VMs known since the start, without this one
   */
  public List<HostPort> peers() {
    return List.copyOf(peers);
  }

  /**
   * Requests the copies that are stale, or that the platform's answers do not prove current yet,
   * from up to two peers, beginning at a random one.
   */
  public void requestStaleCopies() {
    long now = clock.nanoTime();
    List<ObjectKind> stale = new ArrayList<>();
    for (ObjectKind kind : sync.kinds()) {
      if (kind != ObjectKind.ENTRY_VMS && isStale(kind, now)) {
        stale.add(kind);
      }
    }
    if (stale.isEmpty() || peers.isEmpty()) {
      return;
    }
    List<HostPort> all = List.copyOf(peers);
    int first = (int) (random.getAsDouble() * all.size());
    for (int i = 0; i < Math.min(2, all.size()); i++) {
      requestCopies(all.get((first + i) % all.size()), stale);
    }
  }

  private boolean isStale(ObjectKind kind, long now) {
    DirectoryCopyState copy = sync.copy(kind);
    return copy.ageNanos(now) > staleNanos.applyAsLong(kind) || copy.settlingNanos(now) > 0;
  }

  /**
   * Requests copies from one peer.
   *
   * @param peer address of the peer
   * @param kinds the kinds
   * @return completes when the answer was processed or the call has failed, with or without copies
   */
  public CompletableFuture<Void> requestCopies(HostPort peer, List<ObjectKind> kinds) {
    final long sentAt = clock.nanoTime();
    StringBuilder query = new StringBuilder(PATH).append("?vm=").append(self);
    query.append('&').append(COMPRESSED).append("=1");
    for (ObjectKind kind : kinds) {
      DirectoryCopyState copy = sync.copy(kind);
      query.append('&').append(kind).append('=').append(copy.position().toText());
      if (kind.isVersionedByOperators()) {
        query.append('&').append(kind).append(VERSIONS_SUFFIX).append('=');
        query.append(URLEncoder.encode(DirectoryCopyCodec.versions(copy), StandardCharsets.UTF_8));
      }
    }
    HttpRequest request = new HttpRequest("GET", query.toString(), Map.of(), new byte[0]);
    // A call that throws fails the future too, or it would stay pending.
    return CompletableFuture.completedFuture(peer)
        .thenCompose(address -> client.call(address, request, TIMEOUT_MS))
        .handle(
            (response, failure) -> {
              if (failure != null || response.status() != 200) {
                LOG.atInfo()
                    .addKeyValue("peer", peer)
                    .addKeyValue("kinds", kinds)
                    .addKeyValue(
                        "reason",
                        failure == null ? "HTTP status " + response.status() : failure.getMessage())
                    .log("a peer returned no copies of platform objects");
                return null;
              }
              try {
                applyCopies(ThriftCodec.decode(new DirectoryCopies(), response.body()), sentAt);
              } catch (ClementinefordException | RuntimeException e) {
                LOG.atWarn()
                    .addKeyValue("peer", peer)
                    .log("cannot decode the copies from a peer; ignored them", e);
              }
              return null;
            });
  }

  private void applyCopies(DirectoryCopies copies, long sentAt) throws ClementinefordException {
    for (String address : copies.getEntryVms()) {
      addPeers(List.of(HostPort.parse(address)));
    }
    for (DirectoryCopy copy : copies.getCopies()) {
      ObjectKind kind = ObjectKind.valueOf(copy.getKind());
      long provenAt = sentAt - TimeUnit.MILLISECONDS.toNanos(copy.getProvenAgeMs() + 1);
      if (copy.isSetHigherVersions()) {
        sync.addHigherVersions(kind, DirectoryCopyCodec.decode(copy.getHigherVersions()));
      }
      List<DirectoryObject> objects =
          copy.isSetCompressedObjects()
              ? ObjectCompression.decompress(copy.getCompressedObjects())
              : copy.getObjects();
      sync.applyPeerCopy(
          kind,
          new HistoryPosition(copy.getEra(), copy.getRevision()),
          objects == null ? null : DirectoryCopyCodec.decode(objects),
          objects == null ? Map.of() : DirectoryCopyCodec.keptUntil(objects, sentAt),
          provenAt);
    }
  }

  /**
   * Responds to a peer's request for copies.
   *
   * @param exchange exchange whose request has the path {@link #PATH}
   */
  public void answer(HttpExchange exchange) {
    exchange.respond(200, Map.of(), copiesFor(exchange.request()));
  }

  byte[] copiesFor(HttpRequest request) {
    DirectoryCopies copies = new DirectoryCopies().setEntryVms(new ArrayList<>());
    copies.setCopies(new ArrayList<>());
    for (ObjectKind kind : sync.kinds()) {
      String peerPosition = request.queryParameter(kind.name(), "");
      DirectoryCopyState copy = sync.copy(kind);
      if (!peerPosition.isEmpty() && copy.isProven()) {
        DirectoryCopy encoded =
            DirectoryCopyCodec.encode(
                kind,
                copy,
                HistoryPosition.parse(peerPosition),
                request.queryParameter(kind + VERSIONS_SUFFIX, ""),
                clock.nanoTime());
        if (encoded.isSetObjects() && !request.queryParameter(COMPRESSED, "").isEmpty()) {
          encoded.setCompressedObjects(compress(kind, copy, encoded.getObjects()));
          encoded.unsetObjects();
        }
        copies.addToCopies(encoded);
      }
    }
    peers.forEach(peer -> copies.addToEntryVms(peer.toString()));
    copies.addToEntryVms(self.toString());
    return ThriftCodec.encode(copies);
  }

  private byte[] compress(ObjectKind kind, DirectoryCopyState copy, List<DirectoryObject> objects) {
    CompressedCopy last = compressed.get(kind);
    if (last != null && last.position().equals(copy.position())) {
      return last.objects();
    }
    byte[] bytes = ObjectCompression.compress(objects);
    // What is kept or withheld changes with time, at the same position.
    if (copy.kept().isEmpty() && copy.withheld().isEmpty()) {
      compressed.put(kind, new CompressedCopy(copy.position(), bytes));
    }
    return bytes;
  }
}
