package org.clementineford.node.internal;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.agrona.concurrent.EpochClock;
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
  private final EpochClock wallClock;
  private final Scheduler scheduler;
  private final LeaseTiming timing;
  private final BooleanSupplier candidate;
  private final Timeline timeline;
  private final String key;
  private final Lease lease;
  private boolean callInProgress;

  /** Wall-clock time before the last write that succeeded, in milliseconds. */
  private long termStartWallMs = Long.MIN_VALUE;

  private boolean stopped;
  private OptionalLong recordedFencingNumber = OptionalLong.empty();
  private Scheduler.Cancellable timer = () -> {};

  /**
   * Creates an agent.
   *
   * @param self identity of this process
   * @param store the platform's object API
   * @param clock monotonic clock
   * @param wallClock wall clock, which goes on while the VM is suspended
   * @param scheduler timers
   * @param timing times of the lease
   * @param candidate returns whether this process should compete for the lease now
   * @param timeline events of this process
   */
  public LeaseAgent(
      VmIdentity self,
      VersionedObjectStore store,
      NanoClock clock,
      EpochClock wallClock,
      Scheduler scheduler,
      LeaseTiming timing,
      BooleanSupplier candidate,
      Timeline timeline) {
    this.store = store;
    this.clock = clock;
    this.wallClock = wallClock;
    this.scheduler = scheduler;
    this.timing = timing;
    this.candidate = candidate;
    this.timeline = timeline;
    this.key = "leases/rollout-" + self.dataCentre();
    this.lease = new Lease(self.vm() + "/" + self.incarnation(), timing);
  }

  /** Starts to compete for the lease. */
  public void start() {
    timer =
        scheduler.scheduleWithFixedDelay(this::tick, timing.renewalNanos(), TimeUnit.NANOSECONDS);
    scheduler.schedule(this::tick, timing.renewalNanos() / 2, TimeUnit.NANOSECONDS);
  }

  @Override
  public synchronized OptionalLong fencingNumber() {
    boolean valid = !stopped && !hasTermEndedByWallClock();
    return valid ? lease.fencingNumber(clock.nanoTime()) : OptionalLong.empty();
  }

  /**
   * Returns whether the term has ended by the wall clock, since the monotonic clock does not count
   * the time for which the VM was suspended. A forward step of the wall clock ends the term early.
   */
  private boolean hasTermEndedByWallClock() {
    long termNanos = timing.lengthNanos() - timing.marginNanos();
    return wallClock.time() - TimeUnit.NANOSECONDS.toMillis(termNanos) >= termStartWallMs;
  }

  private void tick() {
    LeaseCall call;
    final long wallMs = wallClock.time();
    synchronized (this) {
      if (callInProgress || stopped) {
        return;
      }
      long now = clock.nanoTime();
      boolean holding = fencingNumber().isPresent();
      if (!candidate.getAsBoolean()) {
        call = lease.release(now);
      } else {
        call = lease.nextCall(now);
      }
      callInProgress = call.kind() != LeaseCall.Kind.NONE;
      if (!holding) {
        recordChange();
      }
    }
    execute(call, wallMs);
  }

  /** Sends a call that was decided on at a time of the wall clock, in milliseconds. */
  private CompletableFuture<Void> execute(LeaseCall call, long wallMs) {
    return switch (call.kind()) {
      case NONE -> CompletableFuture.completedFuture(null);
      case READ ->
          CompletableFuture.completedFuture(key)
              .thenCompose(store::get)
              .handle(
                  (object, failure) -> {
                    onCallEnded(() -> lease.onRead(object, clock.nanoTime()), failure, false);
                    return null;
                  });
      case WRITE ->
          CompletableFuture.completedFuture(call)
              .thenCompose(this::write)
              .handle(
                  (version, failure) -> {
                    onCallEnded(() -> written(version, wallMs), failure, true);
                    return null;
                  });
    };
  }

  private void written(long version, long wallMs) {
    termStartWallMs = wallMs;
    lease.onWritten(version, clock.nanoTime());
  }

  private CompletableFuture<Long> write(LeaseCall call) {
    return call.expectedVersion() == 0
        ? store.create(key, call.value())
        : store.update(key, call.expectedVersion(), call.value());
  }

  private void onCallEnded(ResultHandler onSuccess, Throwable failure, boolean isWrite) {
    boolean callAgain;
    synchronized (this) {
      callInProgress = false;
      ErrorKind kind = failure == null ? null : ClementinefordExceptions.from(failure).kind();
      if (failure == null) {
        try {
          onSuccess.handle();
        } catch (DocumentException e) {
          LOG.warn("ignoring the stored content of lease {}: {}", key, e.getMessage());
          lease.onFailed(e.kind());
        }
      } else {
        lease.onFailed(kind);
      }
      recordChange();
      // A read that finds the lease free is followed immediately by the write, and a lost reply by
      // the read that shows whether the write took effect.
      callAgain = !stopped && (kind == ErrorKind.OUTCOME_UNKNOWN || (failure == null && !isWrite));
    }
    if (callAgain && candidate.getAsBoolean()) {
      LeaseCall next;
      final long wallMs = wallClock.time();
      synchronized (this) {
        next = callInProgress ? null : lease.nextCall(clock.nanoTime());
        if (next == null || (next.kind() == LeaseCall.Kind.READ && failure == null)) {
          return;
        }
        callInProgress = next.kind() != LeaseCall.Kind.NONE;
      }
      execute(next, wallMs);
    }
  }

  private void recordChange() {
    OptionalLong now = fencingNumber();
    if (now.equals(recordedFencingNumber)) {
      return;
    }
    if (recordedFencingNumber.isPresent()) {
      timeline.record(
          EventKind.LEASE_LOST,
          "lease",
          key,
          "fencing",
          Long.toString(recordedFencingNumber.getAsLong()));
    }
    if (now.isPresent()) {
      timeline.record(
          EventKind.LEASE_ACQUIRED, "lease", key, "fencing", Long.toString(now.getAsLong()));
    }
    recordedFencingNumber = now;
  }

  /**
   * Stops competing and releases the lease if this process holds it.
   *
   * @return a future that completes when the platform has answered or the call has failed
   */
  public CompletableFuture<Void> stop() {
    timer.cancel();
    LeaseCall call;
    synchronized (this) {
      call = callInProgress ? null : lease.release(clock.nanoTime());
      stopped = true;
      recordChange();
    }
    return call == null ? CompletableFuture.completedFuture(null) : execute(call, wallClock.time());
  }

  @FunctionalInterface
  private interface ResultHandler {
    void handle() throws DocumentException;
  }
}
