package org.clementineford.standins;

/** Faults that can be injected into a stand-in. */
public enum StandInFaultKind {
  /** Calls are answered with status 503 and have no effect. */
  OUTAGE,
  /** Calls are processed after the delay of the fault. */
  SLOWNESS,
  /** Calls have no effect and get no answer. */
  HANG,
  /** Writes take effect, then the connection is closed without an answer. */
  LOST_REPLY,
  /** Reads from the object API return the value before the current one. */
  STALE_READ,
  /** One byte of the weights is changed. */
  CORRUPTION,
  /** Transfers of weights stop halfway while the connection stays open. */
  STALL,
  /** The next read of weights replaces the content of its version, under the same name. */
  VERSION_REPLACED,
  /** The engine closes the connection before the answer is complete. */
  BROKEN_STREAM,
  /** The engine returns the ID of another request. */
  WRONG_REQUEST_ID
}
