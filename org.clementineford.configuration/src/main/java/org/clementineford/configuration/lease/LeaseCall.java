package org.clementineford.configuration.lease;

/**
 * A call to the platform that a lease asks for.
 *
 * @param kind what to do
 * @param expectedVersion version that the object must have; 0 if it must not exist; only for WRITE
 * @param value value to write, or null
 */
public record LeaseCall(Kind kind, long expectedVersion, byte[] value) {
  /** What to do. */
  public enum Kind {
    /** Nothing now. */
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
