package org.clementineford.configuration.lease;

/**
 * A platform call that a {@link Lease} requests.
 *
 * @param kind kind of the call
 * @param expectedVersion version that the object must have; 0 if it must not exist; only for WRITE
 * @param value value to write; null unless the kind is WRITE
 */
public record LeaseCall(Kind kind, long expectedVersion, byte[] value) {
  /** Kind of a call. */
  public enum Kind {
    /** No call is needed now. */
    NONE,
    /** Read the object. */
    READ,
    /** Create or conditionally update the object. */
    WRITE
  }

  static LeaseCall none() {
    return new LeaseCall(Kind.NONE, 0, null);
  }

  static LeaseCall read() {
    return new LeaseCall(Kind.READ, 0, null);
  }

  static LeaseCall write(long expectedVersion, byte[] value) {
    return new LeaseCall(Kind.WRITE, expectedVersion, value);
  }
}
