package org.clementineford.serving.model;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What a caller's request states about itself.
 *
 * @param id identity of this attempt of the caller; empty if the caller states none
 * @param host host that the caller named
 * @param path path without query
 * @param timeoutMs how long the caller waits
 * @param key key of a client account
 * @param promptTokens tokens of the prompt; 0 if not stated
 * @param answerTokens most tokens of the answer; 0 if not stated
 * @param expectedTokens estimate of the tokens of the answer
 * @param resumeAfter number of the last event that the caller has
 */
public record CallerRequest(
    String id,
    String host,
    String path,
    OptionalLong timeoutMs,
    Optional<String> key,
    int promptTokens,
    int answerTokens,
    OptionalInt expectedTokens,
    Optional<String> resumeAfter) {}
