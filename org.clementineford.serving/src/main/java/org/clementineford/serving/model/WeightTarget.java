package org.clementineford.serving.model;

/**
 * A version of weights that an operator named.
 *
 * @param model name of the model
 * @param version version that all engines of the model should serve
 */
public record WeightTarget(String model, long version) {}
