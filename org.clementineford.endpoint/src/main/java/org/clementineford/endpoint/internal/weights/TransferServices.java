package org.clementineford.endpoint.internal.weights;

import java.util.concurrent.Executor;
import org.clementineford.kernel.platform.WeightSource;
import org.clementineford.node.NodeContext;
import org.clementineford.weights.ChunkStore;
import org.clementineford.weights.TransferLimits;

/**
 * Services shared by all transfers of a VM.
 *
 * @param context services shared by the components of the process
 * @param store verified chunks
 * @param source source outside the VMs: the weight store, with the origin as fallback
 * @param verifier executor that computes digests, to keep them off the event loops
 * @param limits limits of the transfers
 * @param metrics metrics of the weights component
 */
record TransferServices(
    NodeContext context,
    ChunkStore store,
    WeightSource source,
    Executor verifier,
    TransferLimits limits,
    WeightsMetrics metrics) {}
