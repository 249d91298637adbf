package org.clementineford.entry.internal.requests;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.agrona.concurrent.NanoClock;
import org.clementineford.configuration.ClientAccount;
import org.clementineford.configuration.ConfigurationSnapshot;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.node.ConfigurationView;
import org.clementineford.requests.RunState;
import org.clementineford.requests.attempts.EntryRefusal;
import org.clementineford.requests.attempts.InFlightLimit;
import org.clementineford.transport.http.HttpExchange;
import org.clementineford.transport.http.HttpHandler;

/** Accepts client requests, or refuses them with a final response. */
final class CallerRequestHandler implements HttpHandler {
  private static final String READY_PATH = "/ready";
  // Memory that a request takes in addition to its body: connection buffers and request state.
  private static final long REQUEST_OVERHEAD_BYTES = 16 << 10;

  // If a keep-alive connection is closed while a request is on its way, the caller cannot tell
  // whether the request ran. Each refusal closes one keep-alive connection, so a period without
  // requests means that no such connection is in use any more.
  private static final long QUIET_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long IDLE_CHECK_INTERVAL_MS = 50;

  private final VmIdentity self;
  private final ConfigurationView configuration;
  private final EntryServices services;
  private final InFlightLimit inFlightLimit;
  private final Accounts accounts = new Accounts();
  private final RequestParser parser = new RequestParser();
  private final AtomicLong lastRequestNumber = new AtomicLong();
  private final AtomicInteger inFlight = new AtomicInteger();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private final Set<InFlightRequest> requests = ConcurrentHashMap.newKeySet();
  private volatile boolean notReady;
  private volatile boolean refusing;
  private volatile boolean requestsEnded;
  private volatile long lastArrivalNanos;

  CallerRequestHandler(
      VmIdentity self, ConfigurationView configuration, EntryServices services, long memoryBytes) {
    this.self = self;
    this.configuration = configuration;
    this.services = services;
    this.inFlightLimit = new InFlightLimit(memoryBytes);
    configurationChanged(configuration.current());
    configuration.onChange(this::configurationChanged);
  }

  private void configurationChanged(ConfigurationSnapshot snapshot) {
    NanoClock clock = services.clock();
    accounts.update(snapshot.clientAccounts());
    services.endpoints().setLeavingByDocument(snapshot.leavingVms(), clock.nanoTime());
  }

  /**
   * Makes {@code /ready} fail. Requests are still accepted if they end in time.
   *
   * @param endNanos monotonic time at which the requests in flight are ended, in nanoseconds
   */
  void startDrain(long endNanos) {
    services.processEnd().set(endNanos);
    notReady = true;
  }

  /**
   * Refuses new requests and asks callers to close their connections.
   *
   * @return completes when no request is in flight and none has arrived for 500 ms
   */
  CompletableFuture<Void> refuseNewRequests() {
    lastArrivalNanos = services.clock().nanoTime();
    refusing = true;
    completeWhenIdle();
    return drained;
  }

  /** Refuses new requests and ends those in flight with the most that is known about each. */
  void endRequests() {
    refusing = true;
    requestsEnded = true;
    requests.forEach(InFlightRequest::processEnds);
  }

  private void completeWhenIdle() {
    long quietNanos = services.clock().nanoTime() - lastArrivalNanos;
    if (inFlight.get() == 0 && quietNanos >= QUIET_PERIOD_NANOS) {
      drained.complete(null);
    } else {
      services
          .scheduler()
          .schedule(this::completeWhenIdle, IDLE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public void handle(HttpExchange http) {
    if (http.request().path().equals(READY_PATH)) {
      int status = notReady || !isConfigured() ? 503 : 200;
      http.respond(status, Map.of("Content-Type", "text/plain"), new byte[0]);
      return;
    }
    String requestId = newRequestId();
    if (!isConfigured()) {
      // Without a configuration no account is known. An "unauthenticated" response would make
      // callers treat a valid token as invalid.
      refuse(http, EntryRefusal.NO_CONFIGURATION, requestId, "");
      return;
    }
    ClientAccount account = accounts.find(http.request().header("Authorization"));
    if (account == null) {
      refuse(http, EntryRefusal.UNAUTHENTICATED, requestId, "");
      return;
    }
    try {
      ConfigurationSnapshot snapshot = configuration.current();
      accept(http, parser.parse(requestId, http.request(), account, snapshot), account);
    } catch (RequestParser.Rejection rejection) {
      refuse(http, rejection.refusal(), requestId, rejection.getMessage());
    }
  }

  private boolean isConfigured() {
    return configuration.current().revision() > 0;
  }

  private void accept(HttpExchange http, CallerRequest request, ClientAccount account) {
    // Counted before the check, so that a drain waits for every request that passes the check.
    inFlight.incrementAndGet();
    long now = services.clock().nanoTime();
    long deadlineNanos = now + TimeUnit.MILLISECONDS.toNanos(request.timeoutMs());
    if (refusing || services.processEnd().isBefore(deadlineNanos)) {
      lastArrivalNanos = now;
      refuse(http, EntryRefusal.ENTRY_LEAVING, request.requestId(), "");
      requestEnded();
      return;
    }
    InFlightLimit.Reservation reservation =
        inFlightLimit.reserve(
            account.name(),
            request.body().length + REQUEST_OVERHEAD_BYTES,
            account.weight(),
            accounts.totalWeight());
    if (reservation == null) {
      refuse(http, EntryRefusal.ENTRY_FULL, request.requestId(), "");
      requestEnded();
      return;
    }
    services.metrics().inFlight.inc();
    double retryBudgetShare = configuration.current().policies().retryBudgetShare();
    services.budget().deposit(retryBudgetShare, now);
    Consumer<InFlightRequest> endAction =
        ended -> {
          inFlightLimit.release(reservation);
          services.metrics().inFlight.dec();
          requests.remove(ended);
          requestEnded();
        };
    InFlightRequest inFlightRequest = new InFlightRequest(services, request, http, endAction);
    requests.add(inFlightRequest);
    http.onWritable(inFlightRequest::callerBecameWritable);
    http.onClosed(inFlightRequest::callerDisconnected);
    inFlightRequest.start();
    if (requestsEnded) {
      // It was accepted while the others were ended.
      inFlightRequest.processEnds();
    }
  }

  private void requestEnded() {
    inFlight.decrementAndGet();
  }

  private void refuse(HttpExchange http, EntryRefusal refusal, String requestId, String detail) {
    String run = RunState.NOT_RUN.headerValue();
    services.metrics().refusals.labelValues(refusal.wireName(), run).inc();
    RefusalResponses.Response response =
        RefusalResponses.of(refusal, RunState.NOT_RUN, requestId, detail);
    Map<String, String> headers = new HashMap<>(response.headers());
    if (notReady || refusing) {
      headers.put("Connection", "close");
    }
    http.respond(response.status(), headers, response.body());
  }

  private String newRequestId() {
    return self.vm()
        + "-"
        + Long.toString(self.incarnation(), Character.MAX_RADIX)
        + "-"
        + Long.toString(lastRequestNumber.incrementAndGet(), Character.MAX_RADIX);
  }
}
