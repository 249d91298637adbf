package org.clementineford.configuration.lease;

import java.util.Optional;
import java.util.OptionalLong;
import org.clementineford.configuration.errors.DocumentException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.platform.StoredObject;

/**
 * State of one candidate for a lease. Not thread-safe; time is an argument, on the monotonic clock
 * of this process. No clock of another process is compared with it.
 *
 * <p>A holder counts its term from before it sent the write that acquired or renewed the lease, and
 * ends it a margin early. Another candidate takes the lease over after it saw the same version for
 * the whole length. Source: C. Gray, D. Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism
 * for Distributed File Cache Consistency", SOSP 1989.
 */
public final class Lease {
  private final String candidate;
  private final LeaseTiming timing;
  private State state = State.READING;
  private long knownVersion;
  private LeaseValue known;
  private long knownSinceNanos;
  private long termStartNanos;
  private boolean holding;
  private long attempts;
  private LeaseValue pending;
  private long pendingStartNanos;

  /**
   * Creates a candidate that has not read the lease yet.
   *
   * @param candidate VM and incarnation of this process
   * @param timing length, renewal and margin
   */
  public Lease(String candidate, LeaseTiming timing) {
    this.candidate = candidate;
    this.timing = timing;
  }

  /**
   * Returns the fencing number if this candidate holds the lease.
   *
   * @param nowNanos monotonic time
   * @return the number, or empty from a margin before the term ends
   */
  public OptionalLong fencingNumber(long nowNanos) {
    boolean valid =
        holding && nowNanos - termStartNanos < timing.lengthNanos() - timing.marginNanos();
    return valid ? OptionalLong.of(known.fencingNumber()) : OptionalLong.empty();
  }

  /**
   * Returns what to send to the platform now. The answer goes to one of the {@code on...} methods
   * before the next call.
   *
   * @param nowNanos monotonic time, read before the call is sent
   * @return the call to make
   */
  public LeaseCall next(long nowNanos) {
    if (holding && fencingNumber(nowNanos).isEmpty()) {
      holding = false;
    }
    if (state == State.READING) {
      return LeaseCall.read();
    }
    boolean expired = nowNanos - knownSinceNanos >= timing.lengthNanos();
    // A write of this process that took effect late left its own name; the next number is safe.
    boolean free =
        known == null || known.holder() == null || (!holding && known.holder().equals(candidate));
    if (holding) {
      boolean due = nowNanos - termStartNanos >= timing.renewalNanos();
      return due ? write(candidate, known.fencingNumber(), nowNanos) : LeaseCall.none();
    }
    if (free || expired) {
      return write(candidate, known == null ? 1 : known.fencingNumber() + 1, nowNanos);
    }
    return LeaseCall.read();
  }

  /**
   * Returns the write that gives the lease back.
   *
   * @param nowNanos monotonic time
   * @return a write, or nothing if the lease is not held
   */
  public LeaseCall release(long nowNanos) {
    if (fencingNumber(nowNanos).isEmpty() || state == State.READING) {
      holding = false;
      return LeaseCall.none();
    }
    holding = false;
    return write(null, known.fencingNumber(), nowNanos);
  }

  private LeaseCall write(String holder, long fencingNumber, long nowNanos) {
    attempts++;
    pending = new LeaseValue(holder, fencingNumber, candidate + "/" + attempts);
    pendingStartNanos = nowNanos;
    return LeaseCall.write(knownVersion, pending.toJson());
  }

  /**
   * Takes in a read value.
   *
   * @param object the object, or empty if there is none
   * @param nowNanos monotonic time after the answer arrived
   * @throws DocumentException if the value is damaged
   */
  public void onRead(Optional<StoredObject> object, long nowNanos) throws DocumentException {
    LeaseValue value = object.isEmpty() ? null : LeaseValue.parse(object.get().value());
    long version = object.map(StoredObject::version).orElse(0L);
    if (value != null && pending != null && pending.attempt().equals(value.attempt())) {
      onWritten(version, nowNanos);
      return;
    }
    pending = null;
    if (version < knownVersion) {
      // A stale read from the platform tells nothing about the present holder.
      return;
    }
    if (version != knownVersion || known == null) {
      knownSinceNanos = nowNanos;
      // Someone else wrote, so this candidate lost the lease even if its own term still runs.
      holding = false;
    }
    known = value;
    knownVersion = version;
    state = State.KNOWN;
  }

  /**
   * Takes in the success of a write.
   *
   * @param version version of the object that the write made
   * @param nowNanos monotonic time after the answer arrived
   */
  public void onWritten(long version, long nowNanos) {
    known = pending;
    knownVersion = version;
    knownSinceNanos = nowNanos;
    holding = pending.holder() != null;
    termStartNanos = pendingStartNanos;
    pending = null;
    state = State.KNOWN;
  }

  /**
   * Takes in the failure of a read or write.
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
    // After a lost reply the value is read back and recognised by its attempt.
    state = State.READING;
  }

  private enum State {
    READING,
    KNOWN
  }
}
