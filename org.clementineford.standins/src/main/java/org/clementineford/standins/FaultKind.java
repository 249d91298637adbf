package org.clementineford.standins;

/** Faults that can be injected into a stand-in. */
public enum FaultKind {
  /** Calls are answered with status 503 and have no effect. */
  OUTAGE,
  /** Calls are carried out later by the fault's time. */
  SLOWNESS,
  /** Calls have no effect and get no answer. */
  HANG,
  /** Writes take effect, then the connection is closed without an answer. */
  LOST_REPLY,
  /** Reads of the object API return the value before the newest one. */
  STALE_READ,
  /** Weights carry a wrong byte. */
  CORRUPTION,
  /** Answers with weights stop in the middle while the connection stays open. */
  STALL,
  /** The next read of weights replaces the content of its version, under the same name. */
  VERSION_REPLACED,
  /** Streams of the engine break in the middle. */
  BROKEN_STREAM,
  /** The engine echoes another request's identity. */
  WRONG_REQUEST_ID
}
