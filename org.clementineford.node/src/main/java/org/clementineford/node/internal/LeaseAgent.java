package org.clementineford.node.internal;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.agrona.concurrent.NanoClock;
import org.clementineford.configuration.errors.DocumentException;
import org.clementineford.configuration.lease.Lease;
import org.clementineford.configuration.lease.LeaseCall;
import org.clementineford.configuration.lease.LeaseTiming;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.platform.VersionedObjectStore;
import org.clementineford.kernel.timeline.EventKind;
import org.clementineford.kernel.timeline.Timeline;
import org.clementineford.node.LeaseView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Competes for the lease {@code rollout-<data centre>} while this process is a candidate. */
public final class LeaseAgent implements LeaseView {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseAgent.class);

  private final VersionedObjectStore store;
  private final NanoClock clock;
  private final Scheduler scheduler;
  private final LeaseTiming timing;
  private final BooleanSupplier candidate;
  private final Timeline timeline;
  private final String key;
  private final Lease lease;
  private boolean calling;
  private boolean stopped;
  private OptionalLong reported = OptionalLong.empty();
  private Scheduler.Cancellable ticking = () -> {};

  /**
   * Creates an agent.
   *
   * @param self identity of this process
   * @param store the platform's object API
   * @param clock monotonic clock
   * @param scheduler timers
   * @param timing times of the lease
   * @param candidate tells whether this process should compete now
   * @param timeline events of this process
   */
  public LeaseAgent(
      VmIdentity self,
      VersionedObjectStore store,
      NanoClock clock,
      Scheduler scheduler,
      LeaseTiming timing,
      BooleanSupplier candidate,
      Timeline timeline) {
    this.store = store;
    this.clock = clock;
    this.scheduler = scheduler;
    this.timing = timing;
    this.candidate = candidate;
    this.timeline = timeline;
    this.key = "leases/rollout-" + self.dataCentre();
    this.lease = new Lease(self.vm() + "/" + self.incarnation(), timing);
  }

  /** Starts to compete. */
  public void start() {
    ticking =
        scheduler.scheduleWithFixedDelay(this::tick, timing.renewalNanos(), TimeUnit.NANOSECONDS);
    scheduler.schedule(this::tick, timing.renewalNanos() / 2, TimeUnit.NANOSECONDS);
  }

  @Override
  public synchronized OptionalLong fencingNumber() {
    return stopped ? OptionalLong.empty() : lease.fencingNumber(clock.nanoTime());
  }

  private void tick() {
    LeaseCall call;
    synchronized (this) {
      if (calling || stopped) {
        return;
      }
      long now = clock.nanoTime();
      boolean holding = lease.fencingNumber(now).isPresent();
      if (!candidate.getAsBoolean()) {
        call = lease.release(now);
      } else {
        call = lease.next(now);
      }
      calling = call.kind() != LeaseCall.Kind.NONE;
      if (!holding) {
        report();
      }
    }
    make(call);
  }

  private CompletableFuture<Void> make(LeaseCall call) {
    return switch (call.kind()) {
      case NONE -> CompletableFuture.completedFuture(null);
      case READ ->
          store
              .get(key)
              .handle(
                  (object, failure) -> {
                    settle(() -> lease.onRead(object, clock.nanoTime()), failure, false);
                    return null;
                  });
      case WRITE ->
          write(call)
              .handle(
                  (version, failure) -> {
                    settle(() -> lease.onWritten(version, clock.nanoTime()), failure, true);
                    return null;
                  });
    };
  }

  private CompletableFuture<Long> write(LeaseCall call) {
    return call.expectedVersion() == 0
        ? store.create(key, call.value())
        : store.update(key, call.expectedVersion(), call.value());
  }

  private void settle(Step success, Throwable failure, boolean wrote) {
    boolean again;
    synchronized (this) {
      calling = false;
      ErrorKind kind = failure == null ? null : Failures.of(failure).kind();
      if (failure == null) {
        try {
          success.run();
        } catch (DocumentException e) {
          LOG.warn("lease {}: {}", key, e.getMessage());
          lease.onFailed(e.kind());
        }
      } else {
        lease.onFailed(kind);
      }
      report();
      // A read that finds the lease free is followed by the write at once; so is a lost reply by
      // the read that tells whether the write took effect.
      again = !stopped && (kind == ErrorKind.OUTCOME_UNKNOWN || (failure == null && !wrote));
    }
    if (again && candidate.getAsBoolean()) {
      LeaseCall next;
      synchronized (this) {
        next = calling ? null : lease.next(clock.nanoTime());
        if (next == null || (next.kind() == LeaseCall.Kind.READ && failure == null)) {
          return;
        }
        calling = next.kind() != LeaseCall.Kind.NONE;
      }
      make(next);
    }
  }

  private void report() {
    OptionalLong now = stopped ? OptionalLong.empty() : lease.fencingNumber(clock.nanoTime());
    if (now.equals(reported)) {
      return;
    }
    if (reported.isPresent()) {
      timeline.record(
          EventKind.LEASE_LOST, "lease", key, "fencing", Long.toString(reported.getAsLong()));
    }
    if (now.isPresent()) {
      timeline.record(
          EventKind.LEASE_ACQUIRED, "lease", key, "fencing", Long.toString(now.getAsLong()));
    }
    reported = now;
  }

  /**
   * Gives the lease back.
   *
   * @return completes when the platform has answered or failed
   */
  public CompletableFuture<Void> stop() {
    ticking.cancel();
    LeaseCall call;
    synchronized (this) {
      call = calling ? null : lease.release(clock.nanoTime());
      stopped = true;
      report();
    }
    return call == null ? CompletableFuture.completedFuture(null) : make(call);
  }

  @FunctionalInterface
  private interface Step {
    void run() throws DocumentException;
  }
}
