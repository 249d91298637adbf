package org.clementineford.configuration;

/**
 * A plain service beside the model engines.
 *
 * @param name name of the service, as in {@code /services/NAME/...}
 * @param costTokens cost that one call counts as in the fair queue, in tokens
 */
public record ServiceSpecification(String name, long costTokens) {}
