package org.clementineford.configuration.lease;

import java.util.Optional;
import java.util.OptionalLong;
import org.clementineford.configuration.errors.DocumentException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.platform.StoredObject;

/**
 * State machine of one candidate for a lease. Not thread-safe. The caller passes in the time of
 * this process's monotonic clock; it is never compared with the clock of another process.
 *
 * <p>The term of a holder starts just before it sends the write that acquires or renews the lease,
 * and ends a safety margin before the lease length has passed. Another candidate takes over the
 * lease once it has seen the same version for the full lease length. Source: C. Gray, D. Cheriton,
 * "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", SOSP
 * 1989.
 */
public final class Lease {
  private final String candidate;
  private final LeaseTiming timing;
  private State state = State.READING;
  private long lastVersion;
  private LeaseValue lastValue;
  private long lastChangeSeenNanos;
  private long termStartNanos;
  private boolean holding;
  private long attempts;
  private LeaseValue pending;
  private long pendingSentNanos;
  private long highestFencingNumber;

  /**
   * Time since which all reads show a lower version than the last; empty if the last one did not.
   */
  private OptionalLong lowerVersionSince = OptionalLong.empty();

  /**
   * Creates a candidate that has not read the lease yet.
   *
   * @param candidate VM and incarnation of this process
   * @param timing lease length, renewal interval and safety margin
   */
  public Lease(String candidate, LeaseTiming timing) {
    this.candidate = candidate;
    this.timing = timing;
  }

  /**
   * Returns the fencing number if this candidate holds the lease.
   *
   * @param nowNanos monotonic time
   * @return the fencing number; empty if the lease is not held or its term, which ends a safety
   *     margin early, has ended
   */
  public OptionalLong fencingNumber(long nowNanos) {
    boolean valid =
        holding && nowNanos - termStartNanos < timing.lengthNanos() - timing.marginNanos();
    return valid ? OptionalLong.of(lastValue.fencingNumber()) : OptionalLong.empty();
  }

  /**
   * Returns the call to send to the platform now. Its result must be passed to one of the {@code
   * on...} methods before this method is called again.
   *
   * @param nowNanos monotonic time, read before the call is sent
   * @return the platform call to send
   */
  public LeaseCall nextCall(long nowNanos) {
    if (holding && fencingNumber(nowNanos).isEmpty()) {
      holding = false;
    }
    if (state == State.READING) {
      return LeaseCall.read();
    }
    boolean expired = nowNanos - lastChangeSeenNanos >= timing.lengthNanos();
    // The holder is this candidate if an earlier write of its own took effect late. Acquiring with
    // the next fencing number is safe then.
    boolean available =
        lastValue == null
            || lastValue.holder() == null
            || (!holding && lastValue.holder().equals(candidate));
    if (holding) {
      boolean renewalDue = nowNanos - termStartNanos >= timing.renewalNanos();
      return renewalDue ? write(candidate, lastValue.fencingNumber(), nowNanos) : LeaseCall.none();
    }
    if (available || expired) {
      return write(candidate, highestFencingNumber + 1, nowNanos);
    }
    return LeaseCall.read();
  }

  /**
   * Stops holding the lease and returns the write that releases it.
   *
   * @param nowNanos monotonic time
   * @return a write, or a call of kind {@code NONE} if the lease is not held
   */
  public LeaseCall release(long nowNanos) {
    if (fencingNumber(nowNanos).isEmpty() || state == State.READING) {
      holding = false;
      return LeaseCall.none();
    }
    holding = false;
    return write(null, lastValue.fencingNumber(), nowNanos);
  }

  private LeaseCall write(String holder, long fencingNumber, long nowNanos) {
    attempts++;
    pending = new LeaseValue(holder, fencingNumber, candidate + "/" + attempts);
    pendingSentNanos = nowNanos;
    return LeaseCall.write(lastVersion, pending.toJson());
  }

  /**
   * Handles the result of a read.
   *
   * @param object the object, or empty if there is none
   * @param nowNanos monotonic time after the reply arrived
   * @throws DocumentException if the value is corrupt
   */
  public void onRead(Optional<StoredObject> object, long nowNanos) throws DocumentException {
    LeaseValue value = object.isEmpty() ? null : LeaseValue.parse(object.get().value());
    long version = object.map(StoredObject::version).orElse(0L);
    if (value != null && pending != null && pending.attempt().equals(value.attempt())) {
      onWritten(version, nowNanos);
      return;
    }
    pending = null;
    if (version < lastVersion && !hasLowerVersionForLong(nowNanos)) {
      // A stale read does not show the current holder.
      return;
    }
    lowerVersionSince = OptionalLong.empty();
    if (version != lastVersion || lastValue == null) {
      lastChangeSeenNanos = nowNanos;
      // Another candidate wrote the object, so the lease is lost even if its term has not ended.
      holding = false;
    }
    if (value != null) {
      highestFencingNumber = Math.max(highestFencingNumber, value.fencingNumber());
    }
    lastValue = value;
    lastVersion = version;
    state = State.KNOWN;
  }

  /**
   * Returns whether reads have shown a lower version for the full lease length, so that the object
   * was deleted, or created again. A write that follows is conditional on that version.
   */
  private boolean hasLowerVersionForLong(long nowNanos) {
    if (lowerVersionSince.isEmpty()) {
      lowerVersionSince = OptionalLong.of(nowNanos);
    }
    return nowNanos - lowerVersionSince.getAsLong() >= timing.lengthNanos();
  }

  /**
   * Handles a successful write.
   *
   * @param version version of the object after the write
   * @param nowNanos monotonic time after the reply arrived
   */
  public void onWritten(long version, long nowNanos) {
    lowerVersionSince = OptionalLong.empty();
    highestFencingNumber = Math.max(highestFencingNumber, pending.fencingNumber());
    lastValue = pending;
    lastVersion = version;
    lastChangeSeenNanos = nowNanos;
    holding = pending.holder() != null;
    termStartNanos = pendingSentNanos;
    pending = null;
    state = State.KNOWN;
  }

  /**
   * Handles a failed read or write.
   *
   * @param kind kind of the failure
   */
  public void onFailed(ErrorKind kind) {
    if (kind == ErrorKind.UNAVAILABLE) {
      pending = null;
      return;
    }
    if (kind == ErrorKind.CONFLICT) {
      pending = null;
      holding = false;
    }
    // If the reply was lost, a read shows by the attempt identifier whether the write took effect.
    state = State.READING;
  }

  private enum State {
    READING,
    KNOWN
  }
}
