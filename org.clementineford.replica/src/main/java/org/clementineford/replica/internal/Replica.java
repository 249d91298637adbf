package org.clementineford.replica.internal;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.clementineford.fleet.DatagramLink;
import org.clementineford.fleet.DirectoryDecoder;
import org.clementineford.fleet.DirectorySync;
import org.clementineford.fleet.PeerDirectory;
import org.clementineford.fleet.VmSettings;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.replica.EngineStatus;
import org.clementineford.replica.LocalEngine;
import org.clementineford.replica.WeightOrigin;
import org.clementineford.serving.directory.ObjectDirectory;
import org.clementineford.serving.directory.ObjectKind;
import org.clementineford.serving.directory.StoredEntry;
import org.clementineford.serving.model.RoutingConfiguration;
import org.clementineford.serving.model.Service;
import org.clementineford.serving.model.WeightTarget;
import org.clementineford.transport.EventLoopScheduler;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpServer;
import org.clementineford.weights.ChunkMap;
import org.clementineford.weights.TransferLimits;
import org.clementineford.wire.ChunkHoldings;
import org.clementineford.wire.EngineReport;
import org.clementineford.wire.FleetDatagram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Directory, peers and engine of an endpoint VM. Used by one thread but for start and stop. */
public final class Replica {
  private static final Logger LOG = LoggerFactory.getLogger(Replica.class);

  /** Peers tell each other of new versions at once, so that a lost watch costs little. */
  private static final long TARGETS_WATCH_MS = 15_000;

  private static final long CONFIGURATION_POLL_MS = 20_000;
  private static final long ENDPOINTS_POLL_MS = 5_000;
  private static final long ENTRY_VMS_POLL_MS = 30_000;
  private static final long STALE_COPY_MS = 45_000;
  private static final long STATUS_MS = 100;
  private static final long ANNOUNCE_MS = 100;

  /** Announcements of which one also goes to other regions, since links between them are narrow. */
  private static final int FAR_ANNOUNCEMENTS = 4;

  /** Reports are repeated this often, since any datagram may be lost. */
  private static final long REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Shortest time between two listings for the sake of VMs that are not listed here yet. */
  private static final long REFRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final long SUBSCRIPTION_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final int MAX_PEER_BODY_BYTES = 1 << 16;

  /**
   * Limits of transfers over links that send a chunk in about 40 ms. A fetch waits behind at most a
   * few others at its peer, so one that takes seconds has lost its connection. Few fetches run at
   * once, since requests for the engine arrive over the same link.
   */
  private static final TransferLimits LIMITS =
      new TransferLimits(
          4,
          2,
          1,
          1,
          4,
          4,
          24,
          TimeUnit.MILLISECONDS.toNanos(50),
          TimeUnit.MILLISECONDS.toNanos(2_500),
          TimeUnit.SECONDS.toNanos(3),
          0,
          TimeUnit.MILLISECONDS.toNanos(500));

  private final VmSettings settings;
  private final DirectoryDecoder decoder;
  private final LocalEngine engine;
  private final EventLoopGroup eventLoops;
  private final NanoClock clock;
  private final long incarnation;
  private final Scheduler scheduler;
  private final DirectorySync sync;
  private final PeerDirectory peers;
  private final WeightRollout rollout;
  private final ChunkServer chunkServer;
  private final Map<HostPort, Long> subscribers = new HashMap<>();
  private final Map<String, VmIdentity> replicas = new HashMap<>();
  private final Map<Long, Integer> announced = new HashMap<>();
  private final Map<Long, Long> announcedAt = new HashMap<>();
  private HostPort origin;
  private long refreshedAt;
  private DatagramLink datagrams;
  private EngineReport lastReport;
  private long reportedAt;
  private long reports;
  private long announcements;
  private boolean statusPending;

  /**
   * Creates the parts of an endpoint VM.
   *
   * @param settings settings of the VM
   * @param directory the platform's objects
   * @param decoder decodes those objects
   * @param engine the engine of this VM
   * @param weights the origin of weights
   * @param eventLoops a group of one thread
   * @param clock monotonic clock
   * @param incarnation number that increases with each start of this process
   */
  public Replica(
      VmSettings settings,
      ObjectDirectory directory,
      DirectoryDecoder decoder,
      LocalEngine engine,
      WeightOrigin weights,
      EventLoopGroup eventLoops,
      NanoClock clock,
      long incarnation) {
    this.settings = settings;
    this.decoder = decoder;
    this.engine = engine;
    this.eventLoops = eventLoops;
    this.clock = clock;
    this.refreshedAt = clock.nanoTime();
    this.incarnation = incarnation;
    this.scheduler = new EventLoopScheduler(eventLoops);
    HttpClient client = new HttpClient(eventLoops, LinkShaping.NONE);
    this.sync = new DirectorySync(directory, scheduler, clock, this::changed);
    this.peers =
        new PeerDirectory(
            sync,
            client,
            scheduler,
            clock,
            () -> ThreadLocalRandom.current().nextDouble(),
            settings.peerAddress(),
            STALE_COPY_MS);
    ReplicaTools tools =
        new ReplicaTools(
            identity(settings.peerAddress().host(), settings.dataCentre(), settings.region()),
            scheduler,
            clock,
            client,
            weights,
            () -> origin,
            LIMITS);
    this.rollout =
        new WeightRollout(
            tools, engine, new ActivationSchedule(settings.bounds().versionMs()), this::report);
    this.chunkServer =
        new ChunkServer(rollout::chunk, scheduler, clock, settings.linkBytesPerSecond());
  }

  /** Returns the identity of an endpoint VM; its address names it, as no other list does. */
  private VmIdentity identity(String host, String dataCentre, String region) {
    return new VmIdentity(
        host,
        VmRole.ENDPOINT,
        dataCentre,
        region,
        0,
        new HostPort(host, settings.peerAddress().port()));
  }

  /**
   * Starts.
   *
   * @throws ClementinefordException if an address cannot be used
   */
  public void start() throws ClementinefordException {
    HttpServer.start(
        eventLoops,
        settings.peerAddress(),
        MAX_PEER_BODY_BYTES,
        LinkShaping.NONE,
        exchange -> {
          if (exchange.request().path().equals(PeerDirectory.PATH)) {
            peers.answer(exchange);
          } else {
            chunkServer.answer(exchange);
          }
        });
    datagrams = new DatagramLink(eventLoops, settings.datagramAddress(), this::received);
    eventLoops.execute(this::startSync);
    scheduler.scheduleEvery(this::readStatus, STATUS_MS, TimeUnit.MILLISECONDS);
    scheduler.scheduleEvery(this::announce, ANNOUNCE_MS, TimeUnit.MILLISECONDS);
    LOG.atInfo()
        .addKeyValue("vm", settings.vm())
        .addKeyValue("engine", settings.engineAddress().orElse(null))
        .log("endpoint VM started");
  }

  private void startSync() {
    peers.addPeers(settings.seeds());
    sync.start();
    sync.poll(ObjectKind.CONFIGURATION, CONFIGURATION_POLL_MS);
    sync.poll(ObjectKind.ENDPOINTS, ENDPOINTS_POLL_MS);
    sync.watch(ObjectKind.WEIGHT_TARGETS, TARGETS_WATCH_MS, 0);
    sync.poll(ObjectKind.ENTRY_VMS, ENTRY_VMS_POLL_MS);
    peers.start();
  }

  /** Stops reading and answering. */
  public void stop() {
    LOG.info("endpoint VM stopped");
    eventLoops.execute(
        () -> {
          sync.stop();
          datagrams.close();
        });
  }

  private void changed(ObjectKind kind) {
    List<StoredEntry> entries = sync.copy(kind).entries();
    switch (kind) {
      case CONFIGURATION -> entries.forEach(this::readOrigin);
      case ENDPOINTS -> setReplicas(entries);
      case WEIGHT_TARGETS ->
          entries.forEach(entry -> decoder.weightTarget(entry).ifPresent(this::named));
      case ENTRY_VMS -> {
        List<HostPort> addresses = new ArrayList<>();
        entries.forEach(entry -> decoder.entryVm(entry).ifPresent(addresses::add));
        peers.addPeers(addresses);
      }
      default -> throw new IllegalStateException("unhandled kind " + kind);
    }
  }

  private void readOrigin(StoredEntry entry) {
    try {
      RoutingConfiguration configuration = decoder.configuration(entry);
      configuration.origin().ifPresent(address -> origin = address);
      configuration
          .service(settings.engineService())
          .flatMap(Service::engine)
          .ifPresent(profile -> rollout.setModel(profile.model()));
    } catch (ClementinefordException e) {
      LOG.atError().log("configuration cannot be read; the origin known before is used", e);
    }
  }

  private void setReplicas(List<StoredEntry> entries) {
    replicas.clear();
    for (StoredEntry entry : entries) {
      decoder
          .endpoint(entry)
          .filter(endpoint -> endpoint.service().equals(settings.engineService()))
          .filter(endpoint -> !endpoint.address().host().equals(settings.peerAddress().host()))
          .ifPresent(
              endpoint -> {
                String host = endpoint.address().host();
                replicas.put(
                    host, identity(host, endpoint.dataCentre(), settings.regionOf(endpoint)));
              });
    }
    rollout.setPeers(replicas.values());
  }

  private void named(WeightTarget target) {
    rollout.named(target.model(), target.version(), clock.nanoTime());
  }

  private void received(HostPort sender, FleetDatagram datagram) {
    if (datagram.isSetSubscription()) {
      subscribers.put(sender, clock.nanoTime());
    } else if (datagram.isSetHoldings()) {
      ChunkHoldings holdings = datagram.getHoldings();
      rollout.named(holdings.getModel(), holdings.getVersion(), clock.nanoTime());
      holdingsReceived(sender, holdings);
    }
  }

  private void holdingsReceived(HostPort sender, ChunkHoldings holdings) {
    VmIdentity peer = replicas.get(sender.host());
    if (peer == null) {
      refreshEndpoints();
    } else {
      rollout.peerHolds(peer, holdings.getVersion(), holdings.getBitmap());
    }
    if (ChunkMap.fromBytes(holdings.getBitmap(), holdings.getChunks()).isWhole()) {
      return;
    }
    // A VM that joins would otherwise wait until this one lists it.
    for (ChunkTransfer transfer : rollout.transfers()) {
      if (transfer.digests().version() == holdings.getVersion() && transfer.isWhole()) {
        datagrams.send(sender, holdings(transfer));
      }
    }
  }

  private void refreshEndpoints() {
    long now = clock.nanoTime();
    if (now - refreshedAt >= REFRESH_NANOS) {
      refreshedAt = now;
      sync.refresh(ObjectKind.ENDPOINTS);
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

  private void readStatus() {
    if (statusPending) {
      return;
    }
    statusPending = true;
    engine
        .status()
        .whenComplete(
            (status, failure) -> {
              statusPending = false;
              if (failure != null) {
                LOG.debug("engine does not answer", failure);
              }
              rollout.statusChanged(failure == null ? status : EngineStatus.UNREACHABLE);
              report();
            });
  }

  private void report() {
    EngineStatus status = rollout.status();
    EngineReport report =
        new EngineReport()
            .setIncarnation(status.incarnation())
            .setWeightVersion(status.weightVersion())
            .setTargetVersion(rollout.target())
            .setChangingVersion(rollout.isChanging())
            .setRunning(status.running())
            .setWaiting(status.waiting())
            .setMemoryUsed(status.memoryUsed())
            .setMemoryTotal(status.memoryTotal())
            .setPace(status.pace());
    long now = clock.nanoTime();
    if (report.equals(lastReport) && now - reportedAt < REPEAT_NANOS) {
      return;
    }
    lastReport = report;
    reportedAt = now;
    reports++;
    FleetDatagram datagram = new FleetDatagram();
    datagram.setReport(
        report.deepCopy().setTargetAgeMs(rollout.targetAgeMs()).setNumber(incarnation + reports));
    subscribers.values().removeIf(heardAt -> now - heardAt > SUBSCRIPTION_NANOS);
    subscribers.keySet().forEach(entryVm -> datagrams.send(entryVm, datagram));
  }

  /** Tells the other endpoint VMs which chunks they can fetch here. */
  private void announce() {
    announcements++;
    for (ChunkTransfer transfer : rollout.transfers()) {
      if (!isAnnouncementDue(transfer)) {
        continue;
      }
      FleetDatagram datagram = holdings(transfer);
      for (VmIdentity replica : replicas.values()) {
        boolean near = replica.region().equals(settings.region());
        if (near || transfer.isWhole() || announcements % FAR_ANNOUNCEMENTS == 0) {
          datagrams.send(new HostPort(replica.vm(), settings.datagramAddress().port()), datagram);
        }
      }
    }
  }

  private boolean isAnnouncementDue(ChunkTransfer transfer) {
    long version = transfer.digests().version();
    int held = (int) Math.round(transfer.progress() * transfer.chunkCount());
    long now = clock.nanoTime();
    long quiet = TimeUnit.MILLISECONDS.toNanos(transfer.isWhole() ? 1_000 : 300);
    Integer before = announced.get(version);
    if (before != null && before == held && now - announcedAt.get(version) < quiet) {
      return false;
    }
    announced.put(version, held);
    announcedAt.put(version, now);
    return true;
  }
}
