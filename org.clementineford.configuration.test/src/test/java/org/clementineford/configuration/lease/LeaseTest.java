package org.clementineford.configuration.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.platform.StoredObject;
import org.clementineford.testing.PausedTime;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LeaseTest {
  private final PausedTime time = new PausedTime(0);
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
    LeaseCall call = lease.next(time.nanoTime());
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

  private void seconds(long seconds, Lease... running) throws Exception {
    for (int i = 0; i < seconds; i++) {
      time.advance(1, TimeUnit.SECONDS);
      for (Lease lease : running) {
        step(lease);
      }
      boolean both =
          first.fencingNumber(time.nanoTime()).isPresent()
              && second.fencingNumber(time.nanoTime()).isPresent();
      assertThat(both).as("two holders at the same time").isFalse();
    }
  }

  @BeforeEach
  void firstHolds() throws Exception {
    step(first);
    step(first);
    assertThat(first.fencingNumber(time.nanoTime())).hasValue(1);
  }

  @Nested
  class Holder {
    /** Guards against losing a lease that is renewed in time. */
    @Test
    void keepsTheLeaseAndTheNumberWhileItRenews() throws Exception {
      seconds(60, first, second);
      assertThat(first.fencingNumber(time.nanoTime())).hasValue(1);
    }

    /** Guards against commands of a holder that was paused past its lease. */
    @Test
    void thatWasPausedStopsByItsOwnClock() throws Exception {
      time.advance(8, TimeUnit.SECONDS);
      assertThat(first.fencingNumber(time.nanoTime())).isEmpty();
      time.advance(3, TimeUnit.SECONDS);
      step(second);
      seconds(11, second);
      assertThat(second.fencingNumber(time.nanoTime())).hasValue(2);
      seconds(5, first, second);
      assertThat(first.fencingNumber(time.nanoTime())).isEmpty();
    }

    /** Guards against counting the term from the reply instead of from the call. */
    @Test
    void countsTheTermFromBeforeTheCall() throws Exception {
      time.advance(4, TimeUnit.SECONDS);
      LeaseCall renewal = first.next(time.nanoTime());
      assertThat(renewal.kind()).isEqualTo(LeaseCall.Kind.WRITE);
      write(renewal);
      time.advance(3, TimeUnit.SECONDS);
      first.onWritten(object.version(), time.nanoTime());
      time.advance(4999, TimeUnit.MILLISECONDS);
      assertThat(first.fencingNumber(time.nanoTime())).hasValue(1);
      time.advance(1, TimeUnit.MILLISECONDS);
      assertThat(first.fencingNumber(time.nanoTime())).isEmpty();
    }

    /** Guards against a gap of a whole term after a planned stop. */
    @Test
    void thatStopsGivesTheLeaseBack() throws Exception {
      write(first.release(time.nanoTime()));
      seconds(2, second);
      assertThat(second.fencingNumber(time.nanoTime())).hasValue(2);
    }
  }

  @Nested
  class LostReply {
    /** Guards against giving up, or acquiring twice, when a renewal took effect without reply. */
    @Test
    void ofRenewalIsReadBack() throws Exception {
      time.advance(4, TimeUnit.SECONDS);
      write(first.next(time.nanoTime()));
      first.onFailed(ErrorKind.OUTCOME_UNKNOWN);
      step(first);
      time.advance(7, TimeUnit.SECONDS);
      assertThat(first.fencingNumber(time.nanoTime())).hasValue(1);
      time.advance(1, TimeUnit.SECONDS);
      assertThat(first.fencingNumber(time.nanoTime())).isEmpty();
    }

    /** Guards against waiting for one's own lease when an acquisition took effect late. */
    @Test
    void ofAcquisitionThatTookEffectLateGetsTheNextNumber() throws Exception {
      seconds(1, second);
      time.advance(10, TimeUnit.SECONDS);
      final LeaseCall acquisition = second.next(time.nanoTime());
      second.onFailed(ErrorKind.OUTCOME_UNKNOWN);
      step(second);
      write(acquisition);
      seconds(3, second);
      assertThat(second.fencingNumber(time.nanoTime())).hasValue(3);
    }
  }

  /** Guards against an outage in which a holder goes on although others may take over later. */
  @Test
  void expiresDuringAnOutageAndReturnsAfterIt() throws Exception {
    for (int i = 0; i < 20; i++) {
      time.advance(1, TimeUnit.SECONDS);
      if (first.next(time.nanoTime()).kind() != LeaseCall.Kind.NONE) {
        first.onFailed(ErrorKind.UNAVAILABLE);
      }
    }
    assertThat(first.fencingNumber(time.nanoTime())).isEmpty();
    seconds(12, first);
    assertThat(first.fencingNumber(time.nanoTime())).hasValue(2);
  }

  /** Guards against a stale read that shows an old holder. */
  @Test
  void ignoresStaleReads() throws Exception {
    final StoredObject old = object;
    time.advance(4, TimeUnit.SECONDS);
    step(first);
    first.onFailed(ErrorKind.OUTCOME_UNKNOWN);
    first.onRead(Optional.of(old), time.nanoTime());
    assertThat(first.fencingNumber(time.nanoTime())).hasValue(1);
    seconds(30, first, second);
    assertThat(first.fencingNumber(time.nanoTime())).hasValue(1);
  }
}
