package org.clementineford.serving.routing;

import org.clementineford.serving.model.EngineProfile;

/**
 * Predicts the time until an engine with continuous batching emits the first token of a request. A
 * scheduling pass runs several decoding steps for all decoding requests and prefills new prompts
 * between them. A new request therefore waits for a free slot, for the pass in progress, and for
 * the prefill of the prompts before its own.
 */
public final class EngineLatencyModel {
  private EngineLatencyModel() {}

  /**
   * Returns the time of one scheduling pass.
   *
   * @param profile profile of the engine
   * @param decodingRequests number of requests that are decoding
   * @return milliseconds
   */
  public static double passMs(EngineProfile profile, int decodingRequests) {
    double context = profile.meanPromptTokens() / 1000 * profile.contextMsPerThousand();
    double step = profile.stepMs() + decodingRequests * (profile.perSequenceMs() + context);
    return profile.stepsPerPass() * step;
  }

  /**
   * Returns the time to prefill a prompt.
   *
   * @param profile profile of the engine
   * @param tokens number of prompt tokens
   * @return milliseconds
   */
  public static double prefillMs(EngineProfile profile, long tokens) {
    return tokens / profile.prefillTokensPerMs()
        + profile.attentionMsPerMillionPairs() * tokens * tokens / 2 / 1e6;
  }

  /**
   * Returns the time for which a request occupies a slot of an engine whose slots are all in use.
   *
   * @param profile profile of the engine
   * @return milliseconds
   */
  public static double slotOccupancyMs(EngineProfile profile) {
    double passes = Math.max(1, profile.meanAnswerTokens() / profile.stepsPerPass());
    double prefillOfOthers =
        profile.slots() / 2.0 * prefillMs(profile, (long) profile.meanPromptTokens());
    return passes * passMs(profile, profile.slots()) + prefillOfOthers;
  }

  /**
   * Returns the time for which an engine whose slots are all in use works on a request.
   *
   * @param profile profile of the engine
   * @param promptTokens number of prompt tokens
   * @param answerTokens number of tokens of the answer
   * @return milliseconds from the prefill to the last token
   */
  public static double answerMs(EngineProfile profile, int promptTokens, double answerTokens) {
    double meanAnswers = answerTokens / Math.max(1, profile.meanAnswerTokens());
    return prefillMs(profile, promptTokens) + meanAnswers * slotOccupancyMs(profile);
  }

  /**
   * Predicts the time from sending a request to its first token.
   *
   * @param profile profile of the engine
   * @param state state of the engine, which includes its load
   * @param promptTokens number of prompt tokens
   * @return milliseconds
   */
  public static double firstTokenMs(EngineProfile profile, EndpointState state, int promptTokens) {
    int load = state.load();
    double waitForSlot = 0;
    if (load >= profile.slots()) {
      waitForSlot = (load - profile.slots() + 1) * slotOccupancyMs(profile) / profile.slots();
    }
    int decodingRequests = Math.min(load, profile.slots());
    double slowdown = Math.max(0.1, state.report().slowdown());
    double work =
        passMs(profile, decodingRequests) * 1.5
            + prefillMs(profile, state.pendingPrefillTokens())
            + prefillMs(profile, promptTokens);
    return (waitForSlot + work) * slowdown;
  }

  /**
   * Predicts the time from sending a request to its first token, if all entry VMs send to the
   * engine as this one does. An engine that becomes free gets the waiting requests of all of them
   * at once, before it reports any.
   *
   * @param profile profile of the engine
   * @param state state of the engine as this entry VM knows it
   * @param promptTokens number of prompt tokens
   * @param entryVms number of entry VMs
   * @return milliseconds; not less than {@link #firstTokenMs}
   */
  public static double firstTokenAmongOthersMs(
      EngineProfile profile, EndpointState state, int promptTokens, int entryVms) {
    int others = Math.max(0, entryVms - 1);
    int load = state.load() + others * state.sentSinceReport();
    int slotsOfOthers = Math.max(0, load + 1 - Math.max(profile.slots(), state.load() + 1));
    double waitForSlot = slotsOfOthers * slotOccupancyMs(profile) / profile.slots();
    double prefillOfOthers = others * prefillMs(profile, state.pendingPrefillTokens());
    double slowdown = Math.max(0.1, state.report().slowdown());
    return firstTokenMs(profile, state, promptTokens) + (waitForSlot + prefillOfOthers) * slowdown;
  }
}
