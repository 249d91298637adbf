package org.clementineford.endpoint.internal.requests;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.timeline.EventKind;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;

/** Reads the load of one back end and probes it while it is down. */
final class LoadPoll {
  private static final long TIMEOUT_MS = 1000;

  private final BackEnd backEnd;
  private final RequestServices services;
  private boolean pending;
  private long reportedNanos;

  LoadPoll(BackEnd backEnd, RequestServices services) {
    this.backEnd = backEnd;
    this.services = services;
    this.reportedNanos = services.clock().nanoTime();
  }

  BackEnd backEnd() {
    return backEnd;
  }

  /** Age of the engine's report in milliseconds; 0 for plain services, which have none. */
  synchronized long ageMs() {
    return backEnd.kind() == BackEndKind.SERVICE
        ? 0
        : TimeUnit.NANOSECONDS.toMillis(services.clock().nanoTime() - reportedNanos);
  }

  /** Sends a probe if one is due. */
  void probe() {
    if (backEnd.takeProbe()) {
      read();
    }
  }

  /** Reads the load report of an engine that is up. */
  void refresh() {
    if (backEnd.kind() == BackEndKind.ENGINE && !backEnd.isDown()) {
      read();
    }
  }

  private void read() {
    synchronized (this) {
      if (pending) {
        return;
      }
      pending = true;
    }
    HttpRequest request = new HttpRequest("GET", backEnd.kind().probePath(), Map.of(), new byte[0]);
    services
        .httpClient()
        .call(backEnd.address(), request, TIMEOUT_MS)
        .whenComplete(
            (response, failure) -> {
              synchronized (this) {
                pending = false;
              }
              if (failure != null) {
                backEnd.failed(false, failure.getMessage());
              } else {
                received(response);
              }
            });
  }

  private void received(HttpResponse response) {
    backEnd.succeeded();
    if (backEnd.kind() == BackEndKind.SERVICE || response.status() != 200) {
      return;
    }
    try {
      EngineLoad load = EngineLoad.parse(response.body());
      synchronized (this) {
        reportedNanos = services.clock().nanoTime() - TimeUnit.MILLISECONDS.toNanos(load.ageMs());
      }
      if (load.slots() > 0) {
        backEnd.queue().setSlots(load.slots());
        backEnd.startNext();
      }
    } catch (IOException e) {
      services
          .timeline()
          .record(EventKind.BACK_END_DOWN, "backEnd", backEnd.name(), "cause", e.getMessage());
    }
  }
}
