package org.clementineford.endpoint.internal.weights;

import java.util.Optional;
import org.clementineford.kernel.platform.WeightSource;

/**
 * Sources of chunks that no peer holds.
 *
 * @param store weight store, which is read first; empty if there is none
 * @param origin origin of the weights
 */
public record WeightSources(Optional<WeightSource> store, WeightSource origin) {}
