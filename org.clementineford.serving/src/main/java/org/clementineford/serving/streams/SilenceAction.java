package org.clementineford.serving.streams;

import org.clementineford.serving.model.RequestKind;

/** What is done with an attempt whose endpoint has been silent for too long. */
public enum SilenceAction {
  /** The attempt goes on until another one can begin, its caller leaves, or the deadline passes. */
  KEEP,
  /** Another attempt begins and takes over once it is connected. */
  BEGIN_ANOTHER_ATTEMPT,
  /** The attempt fails, and the caller learns it while it still has time to return. */
  FAIL;

  /**
   * Decides what is done.
   *
   * @param kind kind of the request
   * @param started true if the caller has received a part of the answer
   * @param otherReady true if another attempt is allowed and an endpoint can take it now
   * @return the action
   */
  public static SilenceAction of(RequestKind kind, boolean started, boolean otherReady) {
    if (otherReady) {
      return BEGIN_ANOTHER_ATTEMPT;
    }
    return kind == RequestKind.STREAM && !started ? FAIL : KEEP;
  }
}
