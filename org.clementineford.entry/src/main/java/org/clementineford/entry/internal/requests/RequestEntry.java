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
import org.clementineford.requests.attempts.RetryBudget;
import org.clementineford.requests.routing.EndpointTable;
import org.clementineford.requests.routing.Router;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpServer;
import org.clementineford.wire.Payload;

/** HTTP interface of the entry VM for callers. */
public final class RequestEntry implements NodeComponent {
  private static final long QUESTION_INTERVAL_MS = 1000;

  // After the drain, only response bytes for slow callers remain to be written.
  private static final long LAST_BYTES_MS = 2000;

  private final NodeContext context;
  private final EntrySettings settings;
  private final EndpointTable endpoints = new EndpointTable();
  private final EntryServices services;
  private final CompletableFuture<Void> idle = new CompletableFuture<>();
  private RequestFront front;
  private HttpServer server;
  private Scheduler.Cancellable reportQuestions = () -> {};

  RequestEntry(NodeContext context, EntrySettings settings, PeerLink link) {
    this.context = context;
    this.settings = settings;
    Router router =
        new Router(endpoints, context.self().dataCentre(), new ThreadLocalRandomSource());
    this.services =
        new EntryServices(
            link,
            new TargetChooser(router, endpoints, link),
            endpoints,
            new RetryBudget(context.nanoClock().nanoTime()),
            new ClaimStore(context.objectStore()),
            context.nanoClock(),
            context.scheduler(),
            new EntryMetrics(context.metrics()),
            context.timeline());
  }

  @Override
  public void start() throws ClementinefordException {
    front =
        new RequestFront(context.self(), context.configuration(), services, settings.memoryBytes());
    members(context.membership().members());
    context.membership().onChange(this::members);
    LoadReports reports = new LoadReports(endpoints, services.link(), context.nanoClock());
    context.payloads().register(Payload._Fields.LOAD_REPORT, reports);
    ReportQuestions questions =
        new ReportQuestions(
            context.self(), context.configuration(), context.membership(), services, reports);
    reportQuestions =
        context
            .scheduler()
            .scheduleWithFixedDelay(
                questions::askIfNeeded, QUESTION_INTERVAL_MS, TimeUnit.MILLISECONDS);
    context.membership().onChange(members -> questions.askIfNeeded());
    questions.askIfNeeded();
    server =
        HttpServer.start(
            context.eventLoops(),
            settings.httpAddress(),
            settings.maxBodyBytes(),
            LinkShaping.NONE,
            front);
  }

  private void members(List<MembershipView.Member> members) {
    Set<String> leavingVms = new HashSet<>();
    for (MembershipView.Member member : members) {
      if (member.phase() == MembershipView.Phase.LEAVING) {
        leavingVms.add(member.identity().vm());
      }
    }
    endpoints.leavingByMembership(leavingVms, context.nanoClock().nanoTime());
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
  public CompletableFuture<Void> drain() {
    front.failReadiness();
    // Gives the load balancer time to see the readiness change before requests are refused.
    context
        .scheduler()
        .schedule(this::refuseNewRequests, settings.readinessMs(), TimeUnit.MILLISECONDS);
    return idle;
  }

  private void refuseNewRequests() {
    server.stopAccepting();
    front
        .refuseNewRequests()
        .whenComplete(
            (done, failure) -> {
              idle.complete(null);
            });
  }

  @Override
  public void close() {
    reportQuestions.cancel();
    server.closeAfterWrites(LAST_BYTES_MS);
  }
}
