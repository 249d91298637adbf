package org.clementineford.gateway;

import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.DoubleSupplier;
import org.agrona.concurrent.NanoClock;
import org.clementineford.fleet.DatagramLink;
import org.clementineford.fleet.DirectoryDecoder;
import org.clementineford.fleet.DirectorySync;
import org.clementineford.fleet.PeerDirectory;
import org.clementineford.fleet.VmSettings;
import org.clementineford.gateway.internal.Gateway;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.serving.directory.DirectoryCopyState;
import org.clementineford.serving.directory.ObjectDirectory;
import org.clementineford.serving.directory.ObjectKind;
import org.clementineford.serving.directory.StoredEntry;
import org.clementineford.serving.model.Endpoint;
import org.clementineford.transport.EventLoopScheduler;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpServer;
import org.clementineford.wire.EngineReport;
import org.clementineford.wire.FleetDatagram;
import org.clementineford.wire.ReportSubscription;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The process of an entry VM. All its state belongs to one event loop, since the VM has one core;
 * only {@link #start} and {@link #stop} are called from other threads.
 */
public final class EntryVm {
  private static final Logger LOG = LoggerFactory.getLogger(EntryVm.class);

  /**
   * Longest wait of a watch of the configuration. It bounds the age of the keys, so it stays well
   * below the time in which a removed key must stop working.
   */
  private static final long CONFIGURATION_WATCH_MS = 1_000;

  /** Longest wait of a watch of the endpoints; a silent connection is noticed about this late. */
  private static final long ENDPOINTS_WATCH_MS = 2_500;

  /**
   * Pause after a change of the endpoints. Engines change their entries often while they load, and
   * each call of each entry VM is paid for; an endpoint that leaves is still known of in time.
   */
  private static final long ENDPOINTS_REST_MS = 300;

  private static final long ENTRY_VMS_POLL_MS = 10_000;

  /** Age of a copy from which peers are asked: a lost watch and the lag of a good one. */
  private static final long STALE_COPY_MS = 3_000;

  /** Entry VMs assumed while few are known. */
  private static final int FEWEST_ENTRY_VMS = 10;

  /** Factor for entry VMs that are not known here yet. */
  private static final double ENTRY_VM_RESERVE = 1.25;

  private static final long SUBSCRIPTION_MS = 1_000;
  private static final long IDLE_CHECK_MS = 500;

  /** Time after which the platform has seen two answers that this VM is not ready. */
  private static final long OUT_OF_ROTATION_MS = 2_600;

  /** Part of the stop time that is left for the end of the process, in milliseconds. */
  private static final long STOP_MARGIN_MS = 700;

  private static final int MAX_PEER_BODY_BYTES = 1 << 16;

  private final VmSettings settings;
  private final DirectoryDecoder decoder;
  private final EventLoopGroup eventLoops;
  private final NanoClock clock;
  private final NanoClock trustClock;
  private final ObjectDirectory directory;
  private final DirectorySync sync;
  private final PeerDirectory peers;
  private final Gateway gateway;
  private DatagramLink datagrams;

  /**
   * Creates a process that does not accept anything yet.
   *
   * @param settings settings of the VM
   * @param directory the platform's objects
   * @param decoder decodes those objects
   * @param protocol headers of requests
   * @param eventLoops a group of one thread
   * @param clock monotonic clock
   * @param trustClock clock for the age of knowledge
   * @param random numbers of at least 0 and below 1
   * @param registry registry of metrics
   */
  public EntryVm(
      VmSettings settings,
      ObjectDirectory directory,
      DirectoryDecoder decoder,
      RequestProtocol protocol,
      EventLoopGroup eventLoops,
      NanoClock clock,
      NanoClock trustClock,
      DoubleSupplier random,
      PrometheusRegistry registry) {
    this.settings = settings;
    this.decoder = decoder;
    this.eventLoops = eventLoops;
    this.clock = clock;
    this.trustClock = trustClock;
    this.directory = directory;
    Scheduler scheduler = new EventLoopScheduler(eventLoops);
    this.sync = new DirectorySync(directory, scheduler, trustClock, this::changed);
    this.peers =
        new PeerDirectory(
            sync,
            new HttpClient(eventLoops, LinkShaping.NONE),
            scheduler,
            trustClock,
            random,
            settings.peerAddress(),
            STALE_COPY_MS);
    this.gateway =
        new Gateway(
            settings,
            protocol,
            eventLoops,
            scheduler,
            clock,
            random,
            this::keyAge,
            this::entryVms,
            registry);
  }

  /**
   * Starts to listen and to read the platform's objects.
   *
   * @throws ClementinefordException if an address cannot be used
   */
  public void start() throws ClementinefordException {
    HttpServer.start(
        eventLoops,
        settings.readinessAddress().orElseThrow(),
        MAX_PEER_BODY_BYTES,
        LinkShaping.NONE,
        exchange -> exchange.respond(gateway.isReady() ? 200 : 503, Map.of(), new byte[0]));
    HttpServer.start(
        eventLoops,
        settings.peerAddress(),
        MAX_PEER_BODY_BYTES,
        LinkShaping.NONE,
        exchange -> {
          if (exchange.request().path().equals(PeerDirectory.PATH)) {
            peers.answer(exchange);
          } else {
            exchange.respond(404, Map.of(), new byte[0]);
          }
        });
    datagrams = new DatagramLink(eventLoops, settings.datagramAddress(), this::received);
    gateway.start(settings.callerAddress().orElseThrow());
    eventLoops.execute(this::startSync);
    EventLoopScheduler scheduler = new EventLoopScheduler(eventLoops);
    scheduler.scheduleEvery(this::subscribe, SUBSCRIPTION_MS, TimeUnit.MILLISECONDS);
    scheduler.scheduleEvery(gateway::closeIdle, IDLE_CHECK_MS, TimeUnit.MILLISECONDS);
    LOG.atInfo()
        .addKeyValue("vm", settings.vm())
        .addKeyValue("dataCentre", settings.dataCentre())
        .addKeyValue("seeds", settings.seeds())
        .log("entry VM started");
  }

  private void startSync() {
    peers.addPeers(settings.seeds());
    sync.start();
    sync.watch(ObjectKind.CONFIGURATION, CONFIGURATION_WATCH_MS, 0);
    sync.watch(ObjectKind.ENDPOINTS, ENDPOINTS_WATCH_MS, ENDPOINTS_REST_MS);
    sync.poll(ObjectKind.ENTRY_VMS, ENTRY_VMS_POLL_MS);
    peers.start();
    directory
        .register(settings.vm(), settings.peerAddress().toString())
        .whenComplete(
            (done, failure) -> {
              if (failure != null) {
                LOG.atWarn()
                    .addKeyValue("reason", failure.getMessage())
                    .log("not registered; peers know this VM only if they are asked by it");
              }
            });
  }

  /** Returns an upper estimate of the entry VMs, since some may not be known here yet. */
  private int entryVms() {
    return Math.max(FEWEST_ENTRY_VMS, (int) Math.ceil(ENTRY_VM_RESERVE * (peers.size() + 1)));
  }

  private long keyAge() {
    return sync.copy(ObjectKind.CONFIGURATION).ageNanos(trustClock.nanoTime());
  }

  private void changed(ObjectKind kind) {
    DirectoryCopyState copy = sync.copy(kind);
    switch (kind) {
      case CONFIGURATION -> copy.entries().forEach(this::configure);
      case ENDPOINTS -> {
        List<Endpoint> endpoints = new ArrayList<>();
        copy.entries().forEach(entry -> decoder.endpoint(entry).ifPresent(endpoints::add));
        gateway.endpointsChanged(endpoints);
        subscribe();
      }
      case ENTRY_VMS -> peers.addListed(copy.entries(), decoder);
      default -> LOG.debug("{} is not used by entry VMs", kind);
    }
  }

  private void configure(StoredEntry entry) {
    try {
      gateway.configure(decoder.configuration(entry));
    } catch (ClementinefordException e) {
      LOG.atError()
          .addKeyValue("revision", entry.revision())
          .log("configuration cannot be read; the previous one stays in force", e);
    }
  }

  private void subscribe() {
    FleetDatagram datagram = new FleetDatagram();
    datagram.setSubscription(new ReportSubscription().setVm(settings.vm()));
    for (Endpoint engine : gateway.engines()) {
      datagrams.send(
          new HostPort(engine.address().host(), settings.datagramAddress().port()), datagram);
    }
  }

  private void received(HostPort sender, FleetDatagram datagram) {
    if (datagram.isSetReport()) {
      EngineReport report = datagram.getReport();
      gateway.reported(sender.host(), report);
    }
  }

  /**
   * Stops without breaking off requests: first new callers stay away, then the requests in progress
   * end. Returns when all have ended or the time is over.
   */
  public void stop() {
    long begun = clock.nanoTime();
    LOG.atInfo().addKeyValue("running", gateway.running()).log("stopping");
    eventLoops.execute(gateway::beginStop);
    await(begun, OUT_OF_ROTATION_MS, false);
    eventLoops.execute(gateway::stopAccepting);
    await(begun, settings.bounds().stopMs() - STOP_MARGIN_MS, true);
    LOG.atInfo().addKeyValue("running", gateway.running()).log("stopped");
  }

  private void await(long begun, long untilMs, boolean endEarly) {
    long pollNanos = TimeUnit.MILLISECONDS.toNanos(20);
    while (clock.nanoTime() - begun < TimeUnit.MILLISECONDS.toNanos(untilMs)) {
      if (endEarly && gateway.running() == 0) {
        return;
      }
      LockSupport.parkNanos(pollNanos);
    }
  }
}
