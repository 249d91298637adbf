package org.clementineford.endpoint.internal.requests;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.timeline.EventKind;
import org.clementineford.requests.RefusalKind;
import org.clementineford.requests.admission.FairQueue;
import org.clementineford.requests.admission.QueuedRequest;

/** An engine or plain service with its queue and health. */
final class BackEnd {
  private final String name;
  private final BackEndKind kind;
  private final HostPort address;
  private final FairQueue<Run> queue;
  private final BackEndHealth health = new BackEndHealth();
  private final RequestServices services;
  private Scheduler.Cancellable deadlineTimer;
  private long deadlineTimerNanos;

  BackEnd(
      String name,
      BackEndKind kind,
      HostPort address,
      FairQueue<Run> queue,
      RequestServices services) {
    this.name = name;
    this.kind = kind;
    this.address = address;
    this.queue = queue;
    this.services = services;
  }

  String name() {
    return name;
  }

  BackEndKind kind() {
    return kind;
  }

  HostPort address() {
    return address;
  }

  FairQueue<Run> queue() {
    return queue;
  }

  boolean isDown() {
    return health.isDown();
  }

  /** Queues a run, or says why not. */
  RefusalKind accept(QueuedRequest<Run> request) {
    if (health.isDown()) {
      return RefusalKind.BACK_END_DOWN;
    }
    if (!kind.isServed(services.versions(), name)) {
      return RefusalKind.MODEL_NOT_SERVED;
    }
    return queue.offer(request) ? null : RefusalKind.QUEUE_FULL;
  }

  /** Starts runs while slots are free. Must not be called with the lock of a run held. */
  void startNext() {
    queue
        .expire(services.clock().nanoTime())
        .forEach(request -> request.work().refuseQueued(RefusalKind.DEADLINE_PASSED));
    QueuedRequest<Run> next = queue.poll();
    while (next != null) {
      if (!next.work().start()) {
        queue.finish(next, 0);
      }
      next = queue.poll();
    }
    armDeadlineTimer();
  }

  private synchronized void armDeadlineTimer() {
    OptionalLong earliest = queue.earliestDeadline();
    if (earliest.isEmpty()) {
      return;
    }
    if (deadlineTimer != null) {
      if (deadlineTimerNanos - earliest.getAsLong() <= 0) {
        return;
      }
      deadlineTimer.cancel();
    }
    deadlineTimerNanos = earliest.getAsLong();
    long delay = Math.max(0, deadlineTimerNanos - services.clock().nanoTime());
    deadlineTimer =
        services.scheduler().schedule(this::onDeadlineTimer, delay, TimeUnit.NANOSECONDS);
  }

  private void onDeadlineTimer() {
    synchronized (this) {
      deadlineTimer = null;
    }
    startNext();
  }

  /** Frees the slot of a run. Must not be called with the lock of a run held. */
  void finished(QueuedRequest<Run> request, long actualCost) {
    queue.finish(request, actualCost);
    startNext();
  }

  void succeeded() {
    if (health.succeeded()) {
      services.timeline().record(EventKind.BACK_END_UP, "backEnd", name);
    }
  }

  /** Records a failure. Must not be called with the lock of a run held. */
  void failed(boolean connectionRefused, String cause) {
    if (health.failed(connectionRefused, services.clock().nanoTime())) {
      services.timeline().record(EventKind.BACK_END_DOWN, "backEnd", name, "cause", cause);
      queue
          .expire(Long.MAX_VALUE)
          .forEach(request -> request.work().refuseQueued(RefusalKind.BACK_END_DOWN));
    }
  }

  boolean takeProbe() {
    return health.takeProbe(services.clock().nanoTime());
  }
}
