package org.clementineford.replica.internal;

import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.agrona.concurrent.NanoClock;
import org.clementineford.fleet.DatagramLink;
import org.clementineford.fleet.DirectoryDecoder;
import org.clementineford.fleet.DirectoryExchange;
import org.clementineford.fleet.DirectorySync;
import org.clementineford.fleet.QuarantineExchange;
import org.clementineford.fleet.VmSettings;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.replica.EngineStatus;
import org.clementineford.replica.LocalEngine;
import org.clementineford.replica.WeightOrigin;
import org.clementineford.serving.directory.DirectoryEntry;
import org.clementineford.serving.directory.ObjectDirectory;
import org.clementineford.serving.directory.ObjectKind;
import org.clementineford.serving.model.RoutingConfiguration;
import org.clementineford.serving.model.Service;
import org.clementineford.serving.model.WeightTarget;
import org.clementineford.serving.quarantine.RequestQuarantine;
import org.clementineford.transport.EventLoopScheduler;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpServer;
import org.clementineford.weights.TransferLimits;
import org.clementineford.wire.ChunkHoldings;
import org.clementineford.wire.FleetDatagram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connects the directory, the peers and the engine of an endpoint VM. Confined to the event loop,
 * except for {@link #start} and {@link #stop}.
 */
public final class EndpointVmProcess {
  private static final Logger LOG = LoggerFactory.getLogger(EndpointVmProcess.class);

  /** Wait of a watch for target versions, the longest that the platform allows. */
  private static final long TARGETS_WATCH_MS = 30_000;

  /**
   * Time without an answer of the platform after which it is asked whether connections went silent:
   * half of the interval at which endpoints are listed. A silent watch is replaced after this time
   * and a timeout of 1 s, which leaves more than half of the 8 s for a switch of versions.
   */
  private static final long SILENCE_PROBE_MS = 2_500;

  private static final long CONFIGURATION_POLL_MS = 20_000;
  private static final long ENDPOINTS_POLL_MS = 5_000;
  private static final long ENTRY_VMS_POLL_MS = 30_000;
  private static final long STALE_COPY_NANOS = TimeUnit.SECONDS.toNanos(45);
  private static final long STATUS_POLL_MS = 100;
  private static final long ANNOUNCE_INTERVAL_MS = 100;

  /** Minimum time between two reads outside the polling interval. */
  private static final long REFRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** Part of the stop time that is reserved for the exit of the process, in milliseconds. */
  private static final long STOP_MARGIN_MS = 700;

  /** Time in which the event loop notices that the time of a stop is over, in milliseconds. */
  private static final long EVENT_LOOP_LAG_MS = 200;

  private static final int MAX_PEER_BODY_BYTES = 1 << 16;

  /**
   * Limits of transfers over links that send a chunk in about 40 ms. A fetch waits behind at most a
   * few others at its peer, so a fetch that takes seconds has lost its connection. Only a few
   * fetches run at once, since requests for the engine arrive over the same link.
   */
  private static final TransferLimits LIMITS =
      new TransferLimits(
          4,
          1,
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
  private final EngineStatusPoll statusPoll;
  private final EventLoopGroup eventLoops;
  private final NanoClock clock;
  private final Scheduler scheduler;
  private final DirectorySync sync;
  private final DirectoryExchange directoryExchange;
  private final WeightRollout rollout;
  private final ChunkServer chunkServer;
  private final EngineReports reports;
  private final HoldingsAnnouncer holdingsAnnouncer;
  private final QuarantineExchange quarantineExchange;
  private final Map<String, VmIdentity> replicas = new HashMap<>();
  private HostPort origin;
  private long refreshedAt;
  private DatagramLink datagrams;
  private Scheduler.Cancellable statusTimer;
  private Scheduler.Cancellable announceTimer;
  private boolean targetsListed;

  /**
   * Creates the components of an endpoint VM without starting them.
   *
   * @param settings settings of the VM
   * @param directory objects stored on the platform
   * @param decoder decodes those objects
   * @param engine the engine on this VM
   * @param weights client of the weight origin
   * @param eventLoops event loop group with one thread
   * @param clock monotonic clock
   * @param stalenessClock monotonic clock that also counts the time for which the VM was suspended
   * @param incarnation number that increases with each start of this process
   */
  public EndpointVmProcess(
      VmSettings settings,
      ObjectDirectory directory,
      DirectoryDecoder decoder,
      LocalEngine engine,
      WeightOrigin weights,
      EventLoopGroup eventLoops,
      NanoClock clock,
      NanoClock stalenessClock,
      long incarnation) {
    this.settings = settings;
    this.decoder = decoder;
    this.statusPoll = new EngineStatusPoll(engine, this::statusRead);
    this.eventLoops = eventLoops;
    this.clock = clock;
    this.refreshedAt = clock.nanoTime();
    this.scheduler = new EventLoopScheduler(eventLoops);
    HttpClient client = new HttpClient(eventLoops, LinkShaping.NONE);
    this.sync =
        new DirectorySync(
            directory,
            scheduler,
            clock,
            settings.bounds().endpointExpiryMs(),
            this::directoryChanged,
            () -> {});
    this.directoryExchange =
        new DirectoryExchange(
            sync,
            client::call,
            scheduler,
            clock,
            () -> ThreadLocalRandom.current().nextDouble(),
            settings.peerAddress(),
            kind -> STALE_COPY_NANOS);
    TransferContext context =
        new TransferContext(
            identity(settings.peerAddress().host(), settings.dataCentre(), settings.region()),
            scheduler,
            clock,
            client,
            new LoggingWeightOrigin(weights, clock),
            () -> origin,
            LIMITS);
    this.rollout =
        new WeightRollout(
            context,
            engine,
            new ActivationSchedule(settings.bounds().versionSwitchMs()),
            this::sendReport);
    this.chunkServer =
        new ChunkServer(rollout::chunk, scheduler, clock, settings.linkBytesPerSecond());
    this.reports = new EngineReports(rollout, clock, incarnation, this::send);
    this.holdingsAnnouncer =
        new HoldingsAnnouncer(
            rollout, clock, context.self(), settings.datagramAddress().port(), this::send);
    this.quarantineExchange =
        new QuarantineExchange(
            new RequestQuarantine(stalenessClock),
            List::of,
            this::send,
            stalenessClock,
            () -> 0,
            () -> {});
  }

  /** Returns the identity of an endpoint VM, whose host is its name since no list names it. */
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
   * Binds the addresses and starts the timers and the directory sync.
   *
   * @throws ClementinefordException if an address cannot be bound
   */
  public void start() throws ClementinefordException {
    HttpServer.start(
        eventLoops,
        settings.peerAddress(),
        MAX_PEER_BODY_BYTES,
        LinkShaping.NONE,
        exchange -> {
          if (exchange.request().path().equals(DirectoryExchange.PATH)) {
            directoryExchange.answer(exchange);
          } else {
            chunkServer.answer(exchange);
          }
        });
    datagrams = new DatagramLink(eventLoops, settings.datagramAddress(), this::datagramReceived);
    eventLoops.execute(this::startSync);
    statusTimer =
        scheduler.scheduleWithFixedDelay(this::readStatus, STATUS_POLL_MS, TimeUnit.MILLISECONDS);
    announceTimer =
        scheduler.scheduleWithFixedDelay(
            () -> holdingsAnnouncer.announce(replicas.values()),
            ANNOUNCE_INTERVAL_MS,
            TimeUnit.MILLISECONDS);
    LOG.atInfo()
        .addKeyValue("vm", settings.vm())
        .addKeyValue("engine", settings.engineAddress().orElse(null))
        .log("endpoint VM started");
  }

  private void startSync() {
    directoryExchange.addPeers(settings.seeds());
    sync.start();
    sync.watch(ObjectKind.WEIGHT_TARGETS, TARGETS_WATCH_MS, 0);
    sync.probe(ObjectKind.WEIGHT_TARGETS, SILENCE_PROBE_MS);
    sync.poll(ObjectKind.CONFIGURATION, CONFIGURATION_POLL_MS);
    sync.poll(ObjectKind.ENDPOINTS, ENDPOINTS_POLL_MS);
    sync.poll(ObjectKind.ENTRY_VMS, ENTRY_VMS_POLL_MS);
    directoryExchange.start();
  }

  /**
   * Begins nothing new, and waits for uploads to peers and an order to the engine. Returns when
   * they have ended or the stop time is over.
   */
  public void stop() {
    long limitMs = Math.max(0, settings.bounds().stopTimeoutMs() - STOP_MARGIN_MS);
    CompletableFuture<Void> ended = new CompletableFuture<>();
    eventLoops.execute(() -> beginStop(limitMs, ended));
    try {
      ended.get(limitMs + EVENT_LOOP_LAG_MS, TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException e) {
      LOG.warn("the work of this VM did not end in time; it is cut off", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void beginStop(long limitMs, CompletableFuture<Void> ended) {
    sync.stop();
    announceTimer.cancel();
    new WorkStop(rollout, chunkServer, scheduler, clock, limitMs)
        .begin()
        .thenRun(
            () -> {
              statusTimer.cancel();
              datagrams.close();
              ended.complete(null);
            });
  }

  private void directoryChanged(ObjectKind kind) {
    List<DirectoryEntry> entries = sync.copy(kind).entries();
    switch (kind) {
      case CONFIGURATION -> entries.forEach(this::readConfiguration);
      case ENDPOINTS -> setReplicas(entries);
      case WEIGHT_TARGETS -> readTargets();
      case ENTRY_VMS -> directoryExchange.addEntryVms(entries, decoder);
      default -> throw new IllegalStateException("unhandled kind " + kind);
    }
  }

  private void readTargets() {
    sync.copy(ObjectKind.WEIGHT_TARGETS)
        .entries()
        .forEach(entry -> decoder.weightTarget(entry).ifPresent(this::updateTarget));
  }

  private void readConfiguration(DirectoryEntry entry) {
    try {
      RoutingConfiguration configuration = decoder.configuration(entry);
      configuration.origin().ifPresent(address -> origin = address);
      configuration
          .service(settings.engineService())
          .flatMap(Service::engine)
          .ifPresent(profile -> rollout.setModel(profile.model(), profile.weights()));
      readTargets();
    } catch (ClementinefordException e) {
      LOG.atError()
          .log("cannot read configuration, previous origin kept; store a valid configuration", e);
    }
  }

  private void setReplicas(List<DirectoryEntry> entries) {
    replicas.clear();
    for (DirectoryEntry entry : entries) {
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

  private void updateTarget(WeightTarget target) {
    rollout.updateTarget(target.model(), target.version(), sync.changesAfter(), targetsListed);
  }

  private void datagramReceived(HostPort sender, FleetDatagram datagram) {
    if (datagram.isSetSubscription()) {
      reports.subscribe(sender);
    } else if (datagram.isSetHoldings()) {
      ChunkHoldings holdings = datagram.getHoldings();
      rollout.updateTarget(
          holdings.getModel(), holdings.getVersion(), clock.nanoTime(), targetsListed);
      holdingsReceived(sender, holdings);
    } else if (datagram.isSetSuspects()) {
      quarantineExchange.onMessage(sender, datagram.getSuspects());
    }
  }

  private void holdingsReceived(HostPort sender, ChunkHoldings holdings) {
    VmIdentity peer = replicas.get(sender.host());
    if (peer == null) {
      refresh(ObjectKind.ENDPOINTS);
    } else {
      rollout.setPeerChunks(peer, holdings.getVersion(), holdings.getBitmap());
    }
    holdingsAnnouncer.answer(sender, holdings);
  }

  /** Reads objects of a kind before the next poll, because the local copy lacks an entry. */
  private void refresh(ObjectKind kind) {
    long now = clock.nanoTime();
    if (now - refreshedAt >= REFRESH_NANOS) {
      refreshedAt = now;
      sync.refresh(kind);
    }
  }

  private void send(HostPort receiver, FleetDatagram datagram) {
    datagrams.send(receiver, datagram);
  }

  private void sendReport() {
    reports.send();
  }

  private void readStatus() {
    // The time at which a version became the target is known only after the first listing.
    targetsListed |= sync.copy(ObjectKind.WEIGHT_TARGETS).isLoaded() && rollout.model() != null;
    if (origin == null) {
      refresh(ObjectKind.CONFIGURATION);
    }
    statusPoll.read();
  }

  private void statusRead(EngineStatus status) {
    rollout.statusChanged(status);
    reports.send();
  }
}
