package org.clementineford.configuration.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.platform.StoredObject;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LeaseTest {
  private final VirtualTime time = new VirtualTime(0);
  private final Lease first = new Lease("entry-1/1", LeaseTiming.DEFAULT);
  private final Lease second = new Lease("entry-2/1", LeaseTiming.DEFAULT);
  private StoredObject object;

  private ErrorKind write(LeaseCall call) {
    long version = object == null ? 0 : object.version();
    if (call.expectedVersion() != version) {
      return ErrorKind.CONFLICT;
    }
    object = new StoredObject("lease", version + 1, call.value());
    return null;
  }

  private void step(Lease lease) throws Exception {
    LeaseCall call = lease.nextCall(time.nanoTime());
    if (call.kind() == LeaseCall.Kind.READ) {
      lease.onRead(Optional.ofNullable(object), time.nanoTime());
    } else if (call.kind() == LeaseCall.Kind.WRITE) {
      ErrorKind failure = write(call);
      if (failure == null) {
        lease.onWritten(object.version(), time.nanoTime());
      } else {
        lease.onFailed(failure);
      }
    }
  }

  private void runSeconds(long seconds, Lease... leases) throws Exception {
    for (int i = 0; i < seconds; i++) {
      time.advance(1, TimeUnit.SECONDS);
      for (Lease lease : leases) {
        step(lease);
      }
      boolean bothHold =
          first.fencingNumber(time.nanoTime()).isPresent()
              && second.fencingNumber(time.nanoTime()).isPresent();
      assertThat(bothHold).as("two holders at the same time").isFalse();
    }
  }

  @BeforeEach
  void acquireFirstLease() throws Exception {
    step(first);
    step(first);
    assertThat(first.fencingNumber(time.nanoTime())).hasValue(1);
  }

  @Nested
  class Holder {
    /** Guards against losing a lease although it is renewed in time. */
    @Test
    void keepsLeaseAndFencingNumberWhileRenewing() throws Exception {
      runSeconds(60, first, second);
      assertThat(first.fencingNumber(time.nanoTime())).hasValue(1);
    }

    /** Guards against a holder that acts after a pause longer than its lease. */
    @Test
    void losesLeaseByItsOwnClockDuringPause() throws Exception {
      time.advance(8, TimeUnit.SECONDS);
      assertThat(first.fencingNumber(time.nanoTime())).isEmpty();
      time.advance(3, TimeUnit.SECONDS);
      step(second);
      runSeconds(11, second);
      assertThat(second.fencingNumber(time.nanoTime())).hasValue(2);
      runSeconds(5, first, second);
      assertThat(first.fencingNumber(time.nanoTime())).isEmpty();
    }

    /** Guards against a term that starts at the reply instead of before the call. */
    @Test
    void countsTermFromBeforeTheCall() throws Exception {
      time.advance(4, TimeUnit.SECONDS);
      LeaseCall renewal = first.nextCall(time.nanoTime());
      assertThat(renewal.kind()).isEqualTo(LeaseCall.Kind.WRITE);
      write(renewal);
      time.advance(3, TimeUnit.SECONDS);
      first.onWritten(object.version(), time.nanoTime());
      time.advance(4999, TimeUnit.MILLISECONDS);
      assertThat(first.fencingNumber(time.nanoTime())).hasValue(1);
      time.advance(1, TimeUnit.MILLISECONDS);
      assertThat(first.fencingNumber(time.nanoTime())).isEmpty();
    }

    /** Guards against a full lease term without a holder after a planned stop. */
    @Test
    void releasesLeaseWhenStopping() throws Exception {
      write(first.release(time.nanoTime()));
      runSeconds(2, second);
      assertThat(second.fencingNumber(time.nanoTime())).hasValue(2);
    }
  }

  @Nested
  class LostReply {
    /** Guards against losing the lease, or acquiring it again, if only the reply is lost. */
    @Test
    void ofRenewalIsResolvedByRead() throws Exception {
      time.advance(4, TimeUnit.SECONDS);
      write(first.nextCall(time.nanoTime()));
      first.onFailed(ErrorKind.OUTCOME_UNKNOWN);
      step(first);
      time.advance(7, TimeUnit.SECONDS);
      assertThat(first.fencingNumber(time.nanoTime())).hasValue(1);
      time.advance(1, TimeUnit.SECONDS);
      assertThat(first.fencingNumber(time.nanoTime())).isEmpty();
    }

    /** Guards against waiting for the candidate's own lease if its acquisition took effect late. */
    @Test
    void ofLateAcquisitionLeadsToNextFencingNumber() throws Exception {
      runSeconds(1, second);
      time.advance(10, TimeUnit.SECONDS);
      final LeaseCall acquisition = second.nextCall(time.nanoTime());
      second.onFailed(ErrorKind.OUTCOME_UNKNOWN);
      step(second);
      write(acquisition);
      runSeconds(3, second);
      assertThat(second.fencingNumber(time.nanoTime())).hasValue(3);
    }
  }

  /** Guards against a holder that keeps acting in an outage although others may take over. */
  @Test
  void expiresDuringOutageAndIsReacquiredAfterIt() throws Exception {
    for (int i = 0; i < 20; i++) {
      time.advance(1, TimeUnit.SECONDS);
      if (first.nextCall(time.nanoTime()).kind() != LeaseCall.Kind.NONE) {
        first.onFailed(ErrorKind.UNAVAILABLE);
      }
    }
    assertThat(first.fencingNumber(time.nanoTime())).isEmpty();
    runSeconds(12, first);
    assertThat(first.fencingNumber(time.nanoTime())).hasValue(2);
  }

  /** Guards against losing the lease because a stale read shows an old value. */
  @Test
  void ignoresStaleReads() throws Exception {
    final StoredObject old = object;
    time.advance(4, TimeUnit.SECONDS);
    step(first);
    first.onFailed(ErrorKind.OUTCOME_UNKNOWN);
    first.onRead(Optional.of(old), time.nanoTime());
    assertThat(first.fencingNumber(time.nanoTime())).hasValue(1);
    runSeconds(30, first, second);
    assertThat(first.fencingNumber(time.nanoTime())).hasValue(1);
  }

  /** Guards against a data centre without a holder for good after its lease object was deleted. */
  @Test
  void isAcquiredAgainAfterItsObjectWasDeleted() throws Exception {
    runSeconds(20, first, second);
    object = null;
    runSeconds(30, first, second);
    Lease holder = first.fencingNumber(time.nanoTime()).isPresent() ? first : second;
    assertThat(holder.fencingNumber(time.nanoTime())).hasValue(2);
    Lease next = holder == first ? second : first;
    runSeconds(30, next);
    assertThat(next.fencingNumber(time.nanoTime())).hasValue(3);
  }
}
