package org.clementineford.configuration;

import org.clementineford.kernel.DistributionPolicy;

/**
 * A model and the version that is wanted on all endpoints.
 *
 * @param name name of the model
 * @param version name of the wanted version
 * @param policy what its distribution saves first
 * @param paused true if no further transfer or activation may start
 */
public record ModelSpecification(
    String name, String version, DistributionPolicy policy, boolean paused) {}
