package org.clementineford.serving.model;

import java.util.Optional;

/**
 * Speed and capacity of the engines of one service, as configured. It describes an engine with
 * continuous batching: each scheduling pass runs several decoding steps, which emit one token for
 * each decoding request, and prefills new prompts.
 *
 * @param model name of the model that the engines serve
 * @param slots number of requests that an engine runs at the same time
 * @param kvCacheTokens number of tokens that fit into the engine's KV cache
 * @param stepsPerPass decoding steps in a pass, if requests are decoding
 * @param stepMs time of a decoding step without requests, in milliseconds
 * @param perSequenceMs additional time of a step for each decoding request, in milliseconds
 * @param contextMsPerThousand additional time of a step for 1,000 tokens of context, in
 *     milliseconds
 * @param prefillTokensPerMs prompt tokens prefilled in a millisecond, without the cost of attention
 * @param attentionMsPerMillionPairs additional prefill time, for attention, of a million pairs of a
 *     prompt token and an earlier one, in milliseconds
 * @param meanPromptTokens mean number of tokens of a prompt
 * @param meanAnswerTokens mean number of tokens of an answer
 * @param weights layout of the model's weights; empty if it is not configured
 */
public record EngineProfile(
    String model,
    int slots,
    long kvCacheTokens,
    int stepsPerPass,
    double stepMs,
    double perSequenceMs,
    double contextMsPerThousand,
    double prefillTokensPerMs,
    double attentionMsPerMillionPairs,
    double meanPromptTokens,
    double meanAnswerTokens,
    Optional<WeightLayout> weights) {}
