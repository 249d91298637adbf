package org.clementineford.endpoint.internal.weights;

import java.util.concurrent.Executor;
import org.clementineford.kernel.platform.WeightSource;
import org.clementineford.node.NodeContext;
import org.clementineford.weights.ChunkStore;
import org.clementineford.weights.TransferLimits;

/**
 * What all transfers of a VM share.
 *
 * @param context what the components of the process share
 * @param store verified chunks
 * @param outside weight store and origin
 * @param verifier computes digests away from the event loops
 * @param limits limits of the transfers
 * @param metrics metrics of the component
 */
record TransferTools(
    NodeContext context,
    ChunkStore store,
    WeightSource outside,
    Executor verifier,
    TransferLimits limits,
    WeightsMetrics metrics) {}
