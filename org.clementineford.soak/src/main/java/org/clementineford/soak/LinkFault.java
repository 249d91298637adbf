package org.clementineford.soak;

/** How a link misbehaves. Bytes that a cut holds back arrive when it heals, as TCP repeats them. */
public enum LinkFault {
  /** It works. */
  NONE(true, true, 0),
  /** All bytes arrive late. */
  DELAYED(true, true, 200),
  /** Bytes of the connecting side do not arrive. */
  CUT_THERE(false, true, 0),
  /** Bytes of the accepting side do not arrive. */
  CUT_BACK(true, false, 0),
  /** No bytes arrive. */
  SILENT(false, false, 0),
  /** Connections are reset, and new ones as well. */
  RESET(true, true, 0);

  private final boolean there;
  private final boolean back;
  private final long delayMs;

  LinkFault(boolean there, boolean back, long delayMs) {
    this.there = there;
    this.back = back;
    this.delayMs = delayMs;
  }

  boolean passes(boolean fromConnectingSide) {
    return fromConnectingSide ? there : back;
  }

  long delayMs() {
    return delayMs;
  }
}
