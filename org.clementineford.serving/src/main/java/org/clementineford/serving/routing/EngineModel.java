package org.clementineford.serving.routing;

import org.clementineford.serving.model.EngineProfile;

/**
 * Predicts when an engine with continuous batching emits the first token of a request. A pass runs
 * several token steps for all writers and reads new prompts between them, so a new request waits
 * for a free slot, for the pass in progress, and for the prompts before its own.
 */
public final class EngineModel {
  private EngineModel() {}

  /**
   * Returns the time of one pass.
   *
   * @param profile the engine
   * @param writers requests that write
   * @return milliseconds
   */
  public static double passMs(EngineProfile profile, int writers) {
    double context = profile.usualPromptTokens() / 1000 * profile.contextMsPerThousand();
    double step = profile.stepMs() + writers * (profile.perSequenceMs() + context);
    return profile.stepsPerPass() * step;
  }

  /**
   * Returns the time to read a prompt.
   *
   * @param profile the engine
   * @param tokens tokens of the prompt
   * @return milliseconds
   */
  public static double readMs(EngineProfile profile, long tokens) {
    return tokens / profile.readTokensPerMs()
        + profile.pairsMsPerMillion() * tokens * tokens / 2 / 1e6;
  }

  /**
   * Returns the time for which a request holds a slot in a busy engine.
   *
   * @param profile the engine
   * @return milliseconds
   */
  public static double slotMs(EngineProfile profile) {
    double passes = Math.max(1, profile.usualAnswerTokens() / profile.stepsPerPass());
    double readsOfOthers =
        profile.slots() / 2.0 * readMs(profile, (long) profile.usualPromptTokens());
    return passes * passMs(profile, profile.slots()) + readsOfOthers;
  }

  /**
   * Predicts the time to the first token.
   *
   * @param profile the engine
   * @param state load of the engine
   * @param promptTokens tokens of the prompt
   * @return milliseconds
   */
  public static double firstTokenMs(EngineProfile profile, EndpointState state, int promptTokens) {
    int load = state.load();
    double waitForSlot = 0;
    if (load >= profile.slots()) {
      waitForSlot = (load - profile.slots() + 1) * slotMs(profile) / profile.slots();
    }
    int writers = Math.min(load, profile.slots());
    double pace = Math.max(0.1, state.report().pace());
    double work =
        passMs(profile, writers) * 1.5
            + readMs(profile, state.unreadPromptTokens())
            + readMs(profile, promptTokens);
    return (waitForSlot + work) * pace;
  }
}
