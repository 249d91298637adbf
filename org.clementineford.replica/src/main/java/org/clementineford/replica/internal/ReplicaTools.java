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
 * What transfers use.
 *
 * @param self this VM
 * @param scheduler timers on the thread of the transfers
 * @param clock monotonic clock
 * @param client connections to peers
 * @param weights the origin of weights
 * @param origin address of the origin; null while it is not known
 * @param limits limits of transfers
 */
record ReplicaTools(
    VmIdentity self,
    Scheduler scheduler,
    NanoClock clock,
    HttpClient client,
    WeightOrigin weights,
    Supplier<HostPort> origin,
    TransferLimits limits) {}
