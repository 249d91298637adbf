package org.clementineford.gateway;

import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.DoubleSupplier;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.clementineford.fleet.DatagramLink;
import org.clementineford.fleet.DirectoryDecoder;
import org.clementineford.fleet.DirectoryExchange;
import org.clementineford.fleet.DirectorySync;
import org.clementineford.fleet.EntryVmRegistration;
import org.clementineford.fleet.ObserverExchange;
import org.clementineford.fleet.QuarantineExchange;
import org.clementineford.fleet.VmSettings;
import org.clementineford.fleet.WatchTimes;
import org.clementineford.gateway.internal.Gateway;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.serving.directory.DirectoryCopyState;
import org.clementineford.serving.directory.DirectoryEntry;
import org.clementineford.serving.directory.ObjectDirectory;
import org.clementineford.serving.directory.ObjectKind;
import org.clementineford.serving.directory.ObserverDuty;
import org.clementineford.serving.draining.Drain;
import org.clementineford.serving.model.Endpoint;
import org.clementineford.serving.quarantine.RequestQuarantine;
import org.clementineford.serving.routing.EntryVmPosition;
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
 * The process of an entry VM. All its state is confined to one event loop thread, since the VM has
 * one core; only {@link #start} and {@link #stop} are called from other threads.
 */
public final class EntryVm {
  private static final Logger LOG = LoggerFactory.getLogger(EntryVm.class);

  private static final long ENTRY_VMS_POLL_INTERVAL_MS = 10_000;

  /**
   * Time after the start at which entry VMs are listed again, in milliseconds: those that started
   * at the same time have registered by then.
   */
  private static final long SECOND_ENTRY_VMS_POLL_MS = 2_000;

  /** Time that an overdue copy has before peers are asked for theirs. */
  private static final long STALE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final List<ObjectKind> WATCHED =
      List.of(ObjectKind.CONFIGURATION, ObjectKind.ENDPOINTS);

  /** Lowest number of entry VMs to assume, for the time in which few peers are known. */
  private static final int MIN_ENTRY_VMS = 10;

  /** Factor on the known entry VMs that allows for those not yet known to this one. */
  private static final double UNKNOWN_ENTRY_VMS_FACTOR = 1.25;

  private static final long SUBSCRIPTION_INTERVAL_MS = 1_000;
  private static final long IDLE_CHECK_INTERVAL_MS = 500;
  private static final long METRICS_INTERVAL_MS = 1_000;

  /** Time after which the platform has received two "not ready" responses from this VM. */
  private static final long NOT_READY_PERIOD_MS = 2_600;

  /** Part of the stop time that is reserved for the exit of the process, in milliseconds. */
  private static final long STOP_MARGIN_MS = 700;

  /** Longest time in which the last answers are written, in milliseconds. */
  private static final long LAST_ANSWERS_MS = 200;

  /** Longest time that the end of a stop waits for an action on the event loop, in milliseconds. */
  private static final long LAST_ACTION_MS = 100;

  private static final int MAX_PEER_BODY_BYTES = 1 << 16;

  private final VmSettings settings;
  private final DirectoryDecoder decoder;
  private final EventLoopGroup eventLoops;
  private final NanoClock clock;
  private final NanoClock stalenessClock;
  private final EntryVmRegistration registration;
  private final DirectorySync directorySync;
  private final DirectoryExchange directoryExchange;
  private final Gateway gateway;
  private final QuarantineExchange quarantineExchange;
  private final ObserverExchange observerExchange;
  private final WatchTimes watchTimes;
  private DatagramLink datagrams;

  /** The last position, since each load report and response asks for it. */
  private EntryVmPosition position;

  private int positionedPeers = -1;

  /**
   * Creates a process that does not listen yet.
   *
   * @param settings settings of the VM
   * @param directory the platform's objects
   * @param decoder decodes the platform's objects
   * @param protocol reads and writes the headers of requests and responses
   * @param eventLoops event loop group with one thread
   * @param clock monotonic clock
   * @param epochClock time of day
   * @param stalenessClock clock that measures the age of copies of the platform's objects; unlike
   *     the monotonic clock, it counts the time for which the VM was suspended
   * @param random random numbers of at least 0 and below 1
   * @param registry registry of metrics
   */
  public EntryVm(
      VmSettings settings,
      ObjectDirectory directory,
      DirectoryDecoder decoder,
      RequestProtocol protocol,
      EventLoopGroup eventLoops,
      NanoClock clock,
      EpochClock epochClock,
      NanoClock stalenessClock,
      DoubleSupplier random,
      PrometheusRegistry registry) {
    this.settings = settings;
    this.decoder = decoder;
    this.eventLoops = eventLoops;
    this.clock = clock;
    this.stalenessClock = stalenessClock;
    Scheduler scheduler = new EventLoopScheduler(eventLoops);
    this.registration =
        new EntryVmRegistration(
            directory,
            scheduler,
            random,
            settings.vm(),
            settings.peerAddress().toString(),
            settings.dataCentre());
    this.directorySync =
        new DirectorySync(
            directory,
            scheduler,
            stalenessClock,
            settings.bounds().endpointExpiryMs(),
            this::onObjectsChanged,
            registration::repeat);
    this.directoryExchange =
        new DirectoryExchange(
            directorySync,
            new HttpClient(eventLoops, LinkShaping.NONE)::call,
            scheduler,
            stalenessClock,
            random,
            settings.peerAddress(),
            kind -> directorySync.maxAgeNanos(kind) + STALE_MARGIN_NANOS);
    RequestQuarantine quarantine = new RequestQuarantine(stalenessClock);
    this.gateway =
        new Gateway(
            settings,
            protocol,
            eventLoops,
            scheduler,
            clock,
            epochClock,
            random,
            this::configurationAgeNanos,
            this::position,
            quarantine,
            registry);
    this.quarantineExchange =
        new QuarantineExchange(
            quarantine,
            this::datagramMembers,
            (member, datagram) -> datagrams.send(member, datagram),
            stalenessClock,
            random,
            gateway::quarantineChanged);
    this.watchTimes = WatchTimes.of(settings.bounds());
    this.observerExchange =
        new ObserverExchange(
            directorySync,
            directoryExchange,
            new ObserverDuty(settings.datagramAddress().host(), random),
            stalenessClock,
            settings,
            WATCHED,
            (long) (random.getAsDouble() * Long.MAX_VALUE),
            (member, datagram) -> datagrams.send(member, datagram));
  }

  /**
   * Starts listening and reading the platform's objects.
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
          if (exchange.request().path().equals(DirectoryExchange.PATH)) {
            directoryExchange.answer(exchange);
          } else {
            exchange.respond(404, Map.of(), new byte[0]);
          }
        });
    datagrams = new DatagramLink(eventLoops, settings.datagramAddress(), this::onDatagram);
    gateway.start(settings.callerAddress().orElseThrow());
    eventLoops.execute(this::startDirectory);
    EventLoopScheduler scheduler = new EventLoopScheduler(eventLoops);
    scheduler.scheduleWithFixedDelay(
        this::subscribeToReports, SUBSCRIPTION_INTERVAL_MS, TimeUnit.MILLISECONDS);
    scheduler.scheduleWithFixedDelay(
        this::recordCopies, METRICS_INTERVAL_MS, TimeUnit.MILLISECONDS);
    scheduler.scheduleWithFixedDelay(
        gateway::closeIdle, IDLE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    LOG.atInfo()
        .addKeyValue("vm", settings.vm())
        .addKeyValue("dataCentre", settings.dataCentre())
        .addKeyValue("seeds", settings.seeds())
        .log("entry VM started");
  }

  private void startDirectory() {
    directoryExchange.addPeers(settings.seeds());
    directorySync.start();
    directorySync.watch(
        ObjectKind.CONFIGURATION, watchTimes.configurationMs(), watchTimes.configurationPauseMs());
    directorySync.watch(
        ObjectKind.ENDPOINTS, watchTimes.endpointsMs(), watchTimes.endpointsPauseMs());
    directorySync.poll(ObjectKind.ENTRY_VMS, ENTRY_VMS_POLL_INTERVAL_MS);
    directoryExchange.start();
    directoryExchange.requestStaleCopies();
    EventLoopScheduler scheduler = new EventLoopScheduler(eventLoops);
    scheduler.schedule(
        () -> directorySync.refresh(ObjectKind.ENTRY_VMS),
        SECOND_ENTRY_VMS_POLL_MS,
        TimeUnit.MILLISECONDS);
    quarantineExchange.start(scheduler);
    observerExchange.start(scheduler);
    registration.start();
  }

  /** Returns the datagram addresses of the other entry VMs and of the endpoint VMs. */
  private List<HostPort> datagramMembers() {
    Set<String> hosts = new LinkedHashSet<>();
    directoryExchange.peers().forEach(peer -> hosts.add(peer.host()));
    gateway.engines().forEach(engine -> hosts.add(engine.address().host()));
    return hosts.stream()
        .map(host -> new HostPort(host, settings.datagramAddress().port()))
        .toList();
  }

  /** Returns the position among the entry VMs, with an upper estimate of their number. */
  private EntryVmPosition position() {
    if (directoryExchange.peerCount() != positionedPeers) {
      positionedPeers = directoryExchange.peerCount();
      position = computePosition();
    }
    return position;
  }

  private EntryVmPosition computePosition() {
    String self = settings.peerAddress().toString();
    List<HostPort> peers = directoryExchange.peers();
    long before = peers.stream().filter(peer -> peer.toString().compareTo(self) < 0).count();
    int known = peers.size() + 1;
    return new EntryVmPosition(
        Math.max(MIN_ENTRY_VMS, (int) Math.ceil(UNKNOWN_ENTRY_VMS_FACTOR * known)),
        (double) before / known);
  }

  private long configurationAgeNanos() {
    return directorySync.copy(ObjectKind.CONFIGURATION).ageNanos(stalenessClock.nanoTime());
  }

  private void onObjectsChanged(ObjectKind kind) {
    DirectoryCopyState copy = directorySync.copy(kind);
    gateway.recordPlatformCopy(kind, copy);
    observerExchange.copyChanged();
    switch (kind) {
      case CONFIGURATION -> copy.entries().forEach(this::configure);
      case ENDPOINTS -> {
        List<Endpoint> endpoints = new ArrayList<>();
        copy.entries().forEach(entry -> decoder.endpoint(entry).ifPresent(endpoints::add));
        gateway.updateEndpoints(endpoints);
        subscribeToReports();
      }
      case ENTRY_VMS -> {
        directoryExchange.addEntryVms(copy.entries(), decoder);
        observerExchange.addEntryVms(copy.entries(), decoder);
      }
      default -> LOG.debug("ignoring a change of {}; entry VMs do not use it", kind);
    }
  }

  private void configure(DirectoryEntry entry) {
    try {
      gateway.configure(decoder.configuration(entry));
    } catch (ClementinefordException e) {
      LOG.atError()
          .addKeyValue("revision", entry.revision())
          .log(
              "cannot decode the configuration; the previous one stays in force;"
                  + " correct the stored configuration",
              e);
    }
  }

  private void subscribeToReports() {
    FleetDatagram datagram = new FleetDatagram();
    datagram.setSubscription(new ReportSubscription().setVm(settings.vm()));
    for (Endpoint engine : gateway.engines()) {
      datagrams.send(
          new HostPort(engine.address().host(), settings.datagramAddress().port()), datagram);
    }
  }

  private void recordCopies() {
    long now = stalenessClock.nanoTime();
    gateway.recordObserving(observerExchange.isObserving());
    WATCHED.forEach(kind -> gateway.recordCopyAge(kind, directorySync.copy(kind).ageNanos(now)));
  }

  private void onDatagram(HostPort sender, FleetDatagram datagram) {
    if (datagram.isSetReport()) {
      EngineReport report = datagram.getReport();
      gateway.onReport(sender.host(), report);
    } else if (datagram.isSetSuspects()) {
      quarantineExchange.onMessage(sender, datagram.getSuspects());
    } else if (datagram.isSetPositionsRequest()) {
      observerExchange.onRequest(sender, datagram.getPositionsRequest());
    } else if (datagram.isSetPositions()) {
      observerExchange.onPositions(sender, datagram.getPositions());
    }
  }

  /**
   * Stops gracefully: reports "not ready" until the platform sends no new callers, then stops
   * accepting connections and waits for the requests in progress. Those that last longer than the
   * stop time are ended. Returns when all have ended.
   *
   * @param requestedAt time at which the stop was requested, in monotonic nanoseconds; the stop
   *     time counts from it
   */
  public void stop(long requestedAt) {
    LOG.atInfo().addKeyValue("running", gateway.requestsInProgress()).log("stopping");
    final long limitMs = settings.bounds().stopTimeoutMs() - STOP_MARGIN_MS;
    Drain drain =
        new Drain(
            requestedAt + TimeUnit.MILLISECONDS.toNanos(NOT_READY_PERIOD_MS),
            requestedAt + TimeUnit.MILLISECONDS.toNanos(limitMs));
    eventLoops.execute(() -> gateway.beginStop(drain));
    await(requestedAt, NOT_READY_PERIOD_MS, false);
    eventLoops.execute(gateway::stopAccepting);
    await(requestedAt, limitMs, true);
    runOnEventLoop(gateway::endRequests);
    await(requestedAt, limitMs + LAST_ANSWERS_MS, true);
    runOnEventLoop(gateway::closeCallers);
    // The closes are counted in later tasks of the event loop.
    runOnEventLoop(() -> {});
    LOG.atInfo()
        .addKeyValue("running", gateway.requestsInProgress())
        .addKeyValue("read", gateway.requestsRead())
        .addKeyValue("ended", gateway.requestsEnded())
        .log("stopped");
  }

  private void runOnEventLoop(Runnable action) {
    eventLoops.submit(action).awaitUninterruptibly(LAST_ACTION_MS);
  }

  private void await(long startedAt, long limitMs, boolean untilIdle) {
    long pollNanos = TimeUnit.MILLISECONDS.toNanos(20);
    while (clock.nanoTime() - startedAt < TimeUnit.MILLISECONDS.toNanos(limitMs)) {
      if (untilIdle && gateway.isDrained()) {
        return;
      }
      LockSupport.parkNanos(pollNanos);
    }
  }
}
