package org.clementineford.entry.internal.requests;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.node.MembershipView;
import org.clementineford.node.NodeComponent;
import org.clementineford.node.NodeContext;
import org.clementineford.requests.ProcessEnd;
import org.clementineford.requests.attempts.RetryBudget;
import org.clementineford.requests.routing.EndpointTable;
import org.clementineford.requests.routing.Router;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpServer;
import org.clementineford.wire.Payload;

/** HTTP interface of the entry VM for callers. */
public final class RequestEntry implements NodeComponent {
  private static final long POLL_INTERVAL_MS = 1000;

  // After the drain, only response bytes for slow callers remain to be written.
  private static final long CLOSE_TIMEOUT_MS = 2000;

  private final NodeContext context;
  private final EntrySettings settings;
  private final EndpointTable endpoints = new EndpointTable();
  private final EntryServices services;
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private CallerRequestHandler requestHandler;
  private HttpServer server;
  private Scheduler.Cancellable pollTimer = () -> {};

  RequestEntry(NodeContext context, EntrySettings settings, PeerExchanges connections) {
    this.context = context;
    this.settings = settings;
    Router router =
        new Router(endpoints, context.self().dataCentre(), new ThreadLocalRandomSource());
    this.services =
        new EntryServices(
            connections,
            new TargetChooser(router, endpoints, connections),
            endpoints,
            new RetryBudget(context.nanoClock().nanoTime()),
            new ClaimStore(context.objectStore()),
            context.nanoClock(),
            context.scheduler(),
            new EntryMetrics(context.metrics()),
            context.timeline(),
            new ProcessEnd());
  }

  @Override
  public void start() throws ClementinefordException {
    requestHandler =
        new CallerRequestHandler(
            context.self(), context.configuration(), services, settings.memoryBytes());
    membersChanged(context.membership().members());
    context.membership().onChange(this::membersChanged);
    LoadReportHandler loadReports =
        new LoadReportHandler(endpoints, services.connections(), context.nanoClock());
    context.payloads().register(Payload._Fields.LOAD_REPORT, loadReports);
    LoadReportPoller poller =
        new LoadReportPoller(
            context.self(), context.configuration(), context.membership(), services, loadReports);
    pollTimer =
        context
            .scheduler()
            .scheduleWithFixedDelay(poller::pollIfNeeded, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    context.membership().onChange(members -> poller.pollIfNeeded());
    poller.pollIfNeeded();
    server =
        HttpServer.start(
            context.eventLoops(),
            settings.httpAddress(),
            settings.maxBodyBytes(),
            LinkShaping.NONE,
            requestHandler);
  }

  private void membersChanged(List<MembershipView.Member> members) {
    Set<String> leavingVms = new HashSet<>();
    for (MembershipView.Member member : members) {
      if (member.phase() == MembershipView.Phase.LEAVING) {
        leavingVms.add(member.identity().vm());
      }
    }
    endpoints.setLeavingByMembership(leavingVms, context.nanoClock().nanoTime());
  }

  /**
   * Returns the address on which callers connect.
   *
   * @return address with the port that was actually bound
   */
  public HostPort httpAddress() {
    return server.address();
  }

  @Override
  public CompletableFuture<Void> drain(long endNanos) {
    requestHandler.startDrain(endNanos);
    // Gives the load balancer time to see the readiness change before requests are refused.
    context
        .scheduler()
        .schedule(this::refuseNewRequests, settings.readinessMs(), TimeUnit.MILLISECONDS);
    return drained;
  }

  private void refuseNewRequests() {
    server.stopAccepting();
    requestHandler
        .refuseNewRequests()
        .whenComplete(
            (done, failure) -> {
              drained.complete(null);
            });
  }

  @Override
  public void close() {
    pollTimer.cancel();
    requestHandler.endRequests();
    server.closeAfterWrites(CLOSE_TIMEOUT_MS);
  }
}
