package org.clementineford.serving.model;

/**
 * The version of the weights that an operator set as the target for a model.
 *
 * @param model name of the model
 * @param version version that all engines of the model should serve
 */
public record WeightTarget(String model, long version) {}
