package org.clementineford.endpoint.internal.weights;

import java.util.Optional;
import org.clementineford.kernel.platform.WeightSource;

/**
 * Where chunks come from that no peer holds.
 *
 * @param store the weight store, which is asked first, or empty if there is none
 * @param origin the origin
 */
public record WeightSources(Optional<WeightSource> store, WeightSource origin) {}
