package org.clementineford.endpoint.internal.requests;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.platform.ModelEngine;
import org.clementineford.platform.HttpModelEngine;
import org.clementineford.transport.http.HttpRequest;

/** Polls the load of one server of a back end, and probes the server while it is down. */
final class LoadPoller {
  private static final long PROBE_TIMEOUT_MS = 1000;

  /** Probe of a plain service; any response means that the service is up. */
  private static final HttpRequest PROBE = new HttpRequest("GET", "/", Map.of(), new byte[0]);

  private final LocalBackEnd backEnd;
  private final BackEndServer server;
  private final RequestServices services;
  private final ModelEngine engine;
  private boolean pending;
  private long reportedNanos;

  LoadPoller(LocalBackEnd backEnd, BackEndServer server, RequestServices services) {
    this.backEnd = backEnd;
    this.server = server;
    this.services = services;
    this.engine = new HttpModelEngine(services.httpClient(), server.address());
    this.reportedNanos = services.clock().nanoTime();
  }

  LocalBackEnd backEnd() {
    return backEnd;
  }

  /** Returns the age of the engine's load report in milliseconds, or 0 for a plain service. */
  synchronized long ageMs() {
    return backEnd.kind() == BackEndKind.SERVICE
        ? 0
        : TimeUnit.NANOSECONDS.toMillis(services.clock().nanoTime() - reportedNanos);
  }

  synchronized boolean isPending() {
    return pending;
  }

  /** Sends a probe if the server is down and a probe is due. */
  void probe() {
    if (server.health().startProbeIfDue(services.clock().nanoTime())) {
      sendPoll();
    }
  }

  /** Requests the load report if the server is an engine that is up. */
  void refresh() {
    if (backEnd.kind() == BackEndKind.ENGINE && !server.health().isDown()) {
      sendPoll();
    }
  }

  private void sendPoll() {
    synchronized (this) {
      if (pending) {
        return;
      }
      pending = true;
    }
    CompletableFuture<?> answer =
        backEnd.kind() == BackEndKind.ENGINE
            ? engine.readLoad().thenAccept(this::loadReceived)
            : services.httpClient().call(server.address(), PROBE, PROBE_TIMEOUT_MS);
    answer.whenComplete((report, failure) -> completed(failure));
  }

  private void loadReceived(ModelEngine.EngineLoad load) {
    synchronized (this) {
      reportedNanos = services.clock().nanoTime() - TimeUnit.MILLISECONDS.toNanos(load.ageMs());
    }
    if (load.slots() > 0) {
      server.setSlots(load.slots());
    }
  }

  private void completed(Throwable failure) {
    try {
      if (failure == null) {
        backEnd.recordSuccess(server);
        backEnd.updateSlots();
        backEnd.startNext();
      } else {
        backEnd.recordUnansweredPoll(server, String.valueOf(failure.getMessage()));
      }
    } finally {
      synchronized (this) {
        pending = false;
      }
    }
  }
}
