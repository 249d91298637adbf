package org.clementineford.replica.internal;

import java.util.function.Supplier;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.replica.WeightOrigin;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.weights.TransferLimits;

/**
 * Dependencies of transfers.
 *
 * @param self this VM
 * @param scheduler scheduler on the thread of the transfers
 * @param clock monotonic clock
 * @param client HTTP client for peers
 * @param weights client of the weight origin
 * @param origin supplier of the origin's address, which is null until it is known
 * @param limits limits of transfers
 */
record TransferContext(
    VmIdentity self,
    Scheduler scheduler,
    NanoClock clock,
    HttpClient client,
    WeightOrigin weights,
    Supplier<HostPort> origin,
    TransferLimits limits) {}
