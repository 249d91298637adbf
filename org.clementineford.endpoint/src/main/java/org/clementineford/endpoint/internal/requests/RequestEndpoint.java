package org.clementineford.endpoint.internal.requests;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.configuration.ClientAccount;
import org.clementineford.configuration.ConfigurationSnapshot;
import org.clementineford.endpoint.ServedVersions;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.node.NodeComponent;
import org.clementineford.node.NodeContext;
import org.clementineford.requests.ProcessEnd;
import org.clementineford.requests.admission.FairQueue;
import org.clementineford.requests.admission.FairQueueLimits;
import org.clementineford.requests.admission.RunRegistry;
import org.clementineford.requests.admission.RunRegistryLimits;
import org.clementineford.wire.Payload;

/** Component that runs requests of entry VMs on the back ends of this VM. */
public final class RequestEndpoint implements NodeComponent {
  private static final long REPORT_INTERVAL_MS = 1000;
  private static final long PROBE_INTERVAL_MS = 50;

  private final NodeContext context;
  private final RequestServices services;
  private final Map<String, LocalBackEnd> backEnds = new TreeMap<>();
  private final List<LoadPoller> pollers = new ArrayList<>();
  private final List<Scheduler.Cancellable> timers = new ArrayList<>();
  private final LoadReporter reporter;
  private volatile boolean draining;
  private boolean leavingNoticeSent;

  /**
   * Creates the component.
   *
   * @param context services shared by the components of the process
   * @param engines addresses of the engines by model name
   * @param plainServices addresses of the plain services by service name
   * @param slots maximum number of concurrent requests on a server that does not report its slots
   */
  public RequestEndpoint(
      NodeContext context,
      Map<String, List<HostPort>> engines,
      Map<String, HostPort> plainServices,
      int slots) {
    this.context = context;
    this.services =
        new RequestServices(
            new RunRegistry<>(RunRegistryLimits.DEFAULT, context.self().incarnation()),
            new ActivatedVersions(context.sharedServices().get(ServedVersions.class)),
            context.httpClient(),
            context.nanoClock(),
            context.scheduler(),
            context.timeline(),
            new RequestMetrics(context.metrics()),
            new DrainTracker(),
            new ProcessEnd());
    engines.forEach((name, addresses) -> add(name, BackEndKind.ENGINE, addresses, slots));
    plainServices.forEach(
        (name, address) -> add(name, BackEndKind.SERVICE, List.of(address), slots));
    this.reporter =
        new LoadReporter(context, backEnds.values(), pollers, services.versions(), this::isLeaving);
  }

  private void add(String name, BackEndKind kind, List<HostPort> addresses, int slots) {
    List<BackEndServer> servers = new ArrayList<>();
    addresses.forEach(address -> servers.add(new BackEndServer(address, slots)));
    FairQueue<Run> queue =
        new FairQueue<>(FairQueueLimits.DEFAULT, slots * servers.size(), this::weight);
    LocalBackEnd backEnd = new LocalBackEnd(name, kind, servers, queue, services);
    backEnds.put(name, backEnd);
    servers.forEach(server -> pollers.add(new LoadPoller(backEnd, server, services)));
  }

  private int weight(String clientAccount) {
    ClientAccount account = context.configuration().current().clientAccounts().get(clientAccount);
    return account == null ? 1 : account.weight();
  }

  private boolean isLeaving() {
    return draining || context.configuration().current().leavingVms().contains(context.self().vm());
  }

  @Override
  public void start() {
    DispatchHandler handler = new DispatchHandler(backEnds, services);
    context.payloads().register(Payload._Fields.DISPATCH, handler);
    context.payloads().register(Payload._Fields.REPORT_OR_REVOKE, handler);
    context.payloads().register(Payload._Fields.LOAD_REPORT, reporter);
    context.configuration().onChange(this::configurationChanged);
    context.membership().onChange(members -> applyLeaving());
    every(this::report, REPORT_INTERVAL_MS);
    every(() -> pollers.forEach(LoadPoller::probe), PROBE_INTERVAL_MS);
    pollers.forEach(LoadPoller::refresh);
    configurationChanged(context.configuration().current());
  }

  private void every(Runnable task, long intervalMs) {
    timers.add(context.scheduler().scheduleWithFixedDelay(task, intervalMs, TimeUnit.MILLISECONDS));
  }

  private void report() {
    reporter.sendToOwnDataCentre();
    pollers.forEach(LoadPoller::refresh);
  }

  private void configurationChanged(ConfigurationSnapshot configuration) {
    backEnds.values().forEach(backEnd -> backEnd.queue().refreshWeights());
    applyLeaving();
  }

  private synchronized void applyLeaving() {
    boolean leaving = isLeaving();
    services.registry().setLeaving(leaving);
    if (leaving && !leavingNoticeSent) {
      reporter.send(reporter.entryVms(), () -> {});
    }
    leavingNoticeSent = leaving;
  }

  @Override
  public CompletableFuture<Void> drain(long endNanos) {
    draining = true;
    services.processEnd().set(endNanos);
    synchronized (this) {
      services.registry().setLeaving(true);
      leavingNoticeSent = true;
    }
    backEnds.values().forEach(backEnd -> backEnd.refuseQueuedLaterThan(endNanos));
    DrainTracker tracker = services.drainTracker();
    long now = context.nanoClock().nanoTime();
    List<HostPort> entryVms = reporter.entryVms();
    tracker.startDrain(entryVms.size(), now);
    reporter.send(entryVms, () -> tracker.noticeConfirmed(context.nanoClock().nanoTime()));
    every(() -> tracker.completeIfDrained(context.nanoClock().nanoTime()), PROBE_INTERVAL_MS);
    tracker.completeIfDrained(now);
    return tracker.drained();
  }

  boolean isReadingLoad() {
    return pollers.stream().anyMatch(LoadPoller::isPending);
  }

  int activeRuns() {
    return services.drainTracker().active().size();
  }

  @Override
  public void close() {
    timers.forEach(Scheduler.Cancellable::cancel);
    services.registry().setLeaving(true);
    List<Run> left = services.drainTracker().active();
    // The end of a run that occupies a slot would start a queued one.
    left.stream().filter(Run::isQueued).forEach(Run::processEnds);
    left.forEach(Run::processEnds);
  }
}
