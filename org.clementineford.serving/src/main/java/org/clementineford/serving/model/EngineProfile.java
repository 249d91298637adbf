package org.clementineford.serving.model;

/**
 * Speed and size of the engines of one service.
 *
 * @param model name of the model that they serve
 * @param slots requests that run at once
 * @param memoryTokens tokens of context that fit into memory
 * @param stepsPerPass token steps in a pass that has writers
 * @param stepMs time of a token step
 * @param perSequenceMs additional time of a step for each request that writes
 * @param contextMsPerThousand additional time of a step for 1,000 tokens of context
 * @param readTokensPerMs prompt tokens read in a millisecond
 * @param pairsMsPerMillion additional time for a million pairs of a prompt token and an earlier one
 * @param usualPromptTokens mean tokens of a prompt
 * @param usualAnswerTokens mean tokens of an answer
 */
public record EngineProfile(
    String model,
    int slots,
    long memoryTokens,
    int stepsPerPass,
    double stepMs,
    double perSequenceMs,
    double contextMsPerThousand,
    double readTokensPerMs,
    double pairsMsPerMillion,
    double usualPromptTokens,
    double usualAnswerTokens) {}
