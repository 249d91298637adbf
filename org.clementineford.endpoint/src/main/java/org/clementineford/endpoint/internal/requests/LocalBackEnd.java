package org.clementineford.endpoint.internal.requests;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.timeline.EventKind;
import org.clementineford.requests.RefusalKind;
import org.clementineford.requests.admission.FairQueue;
import org.clementineford.requests.admission.QueuedRequest;

/** A model or plain service of this VM: its request queue and the servers that run the requests. */
final class LocalBackEnd {
  /**
   * Time over which the runs of an unresponsive server end, in milliseconds. The retry budgets of
   * entry VMs refill meanwhile.
   */
  private static final long GIVE_UP_PERIOD_MS = 2000;

  private final String name;
  private final BackEndKind kind;
  private final List<BackEndServer> servers;
  private final FairQueue<Run> queue;
  private final RequestServices services;
  private Scheduler.Cancellable deadlineTimer;
  private long deadlineTimerNanos;

  LocalBackEnd(
      String name,
      BackEndKind kind,
      List<BackEndServer> servers,
      FairQueue<Run> queue,
      RequestServices services) {
    this.name = name;
    this.kind = kind;
    this.servers = List.copyOf(servers);
    this.queue = queue;
    this.services = services;
  }

  String name() {
    return name;
  }

  BackEndKind kind() {
    return kind;
  }

  List<BackEndServer> servers() {
    return servers;
  }

  FairQueue<Run> queue() {
    return queue;
  }

  /** Returns whether all servers are down. */
  boolean isDown() {
    return servers.stream().allMatch(server -> server.health().isDown());
  }

  /** Selects the server with the most free slots and occupies one of them. */
  BackEndServer acquireServer(Run run) {
    synchronized (servers) {
      BackEndServer best = servers.get(0);
      for (BackEndServer server : servers) {
        if (server.freeSlots() > best.freeSlots()) {
          best = server;
        }
      }
      best.occupySlot(run);
      return best;
    }
  }

  /** Queues a run; returns null if it was queued, otherwise the kind of refusal. */
  RefusalKind accept(QueuedRequest<Run> request) {
    if (isDown()) {
      return RefusalKind.BACK_END_DOWN;
    }
    if (!kind.isAvailable(services.versions(), name)) {
      return RefusalKind.MODEL_NOT_SERVED;
    }
    if (!queue.offer(request)) {
      return RefusalKind.QUEUE_FULL;
    }
    // The back end may have gone down since the check above, after which its queue was emptied.
    if (isDown() && queue.remove(request)) {
      return RefusalKind.BACK_END_DOWN;
    }
    // A stop may have begun since the admission, after which the queue was searched.
    return services.processEnd().isBefore(request.deadlineNanos()) && queue.remove(request)
        ? RefusalKind.LEAVING
        : null;
  }

  /**
   * Starts queued runs while slots are free. Must not be called while holding the lock of a run.
   */
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

  /** Releases the slot of a run. Must not be called while holding the lock of a run. */
  void runFinished(QueuedRequest<Run> request, BackEndServer server, long actualCost) {
    server.releaseSlot(request.work());
    queue.finish(request, actualCost);
    startNext();
  }

  void recordSuccess(BackEndServer server) {
    if (server.health().recordSuccess()) {
      services.timeline().record(EventKind.BACK_END_UP, "backEnd", name);
      updateSlots();
    }
  }

  /**
   * Records a failure of a server. Refuses all queued runs if no server is up any more. Must not be
   * called while holding the lock of a run.
   */
  void recordFailure(BackEndServer server, boolean connectionRefused, String cause) {
    if (server.health().recordFailure(connectionRefused, services.clock().nanoTime())) {
      services.timeline().record(EventKind.BACK_END_DOWN, "backEnd", name, "cause", cause);
      updateSlots();
    }
    if (isDown()) {
      queue
          .expire(Long.MAX_VALUE)
          .forEach(request -> request.work().refuseQueued(RefusalKind.BACK_END_DOWN));
    }
  }

  /**
   * Records a poll or probe without an answer. If it leaves the server down, other endpoints may
   * answer before this server does, so its unanswered runs end as far as they may run again, unless
   * the server recovers. Must not be called while holding the lock of a run.
   */
  void recordUnansweredPoll(BackEndServer server, String cause) {
    recordFailure(server, false, cause);
    if (!server.health().isDown()) {
      return;
    }
    List<Run> runs = server.startGivingUp();
    for (int i = 0; i < runs.size(); i++) {
      Run run = runs.get(i);
      services
          .scheduler()
          .schedule(
              () -> giveUp(run, server, cause),
              GIVE_UP_PERIOD_MS * i / runs.size(),
              TimeUnit.MILLISECONDS);
    }
  }

  private void giveUp(Run run, BackEndServer server, String cause) {
    server.endGivingUp(run);
    if (server.health().isDown()) {
      run.giveUpIfRepeatable(server, cause);
    }
  }

  /** Refuses the queued runs that the end of the process may cut off. */
  void refuseQueuedLaterThan(long endNanos) {
    queue
        .removeLaterThan(endNanos)
        .forEach(request -> request.work().refuseQueued(RefusalKind.LEAVING));
  }

  /** Sets the concurrency limit of the queue to the total slots of the servers that are up. */
  void updateSlots() {
    queue.setSlots(servers.stream().mapToInt(BackEndServer::usableSlots).sum());
  }
}
