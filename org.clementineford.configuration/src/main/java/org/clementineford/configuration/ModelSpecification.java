package org.clementineford.configuration;

import org.clementineford.kernel.DistributionPolicy;

/**
 * A model and its target version on all endpoints.
 *
 * @param name name of the model
 * @param version name of the target version
 * @param policy whether the distribution of its weights minimizes time or bytes from the origin
 * @param paused true if new transfers and activations are suspended
 */
public record ModelSpecification(
    String name, String version, DistributionPolicy policy, boolean paused) {}
