package org.clementineford.configuration;

/**
 * A plain service, which is not a model engine.
 *
 * @param name name of the service, as in {@code /services/NAME/...}
 * @param costTokens cost of one call in the fair queue, in tokens
 */
public record ServiceSpecification(String name, long costTokens) {}
