package org.clementineford.node;

import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.platform.VersionedObjectStore;
import org.clementineford.kernel.timeline.Timeline;
import org.clementineford.transport.PeerNetwork;
import org.clementineford.transport.http.HttpClient;

/**
 * Objects shared by the components of a process.
 *
 * @param self identity of this process
 * @param eventLoops threads for sockets and timers
 * @param scheduler timers
 * @param nanoClock monotonic clock
 * @param epochClock wall clock
 * @param network connections to other processes
 * @param payloads router of the exchanges opened by peers
 * @param configuration configuration in force
 * @param membership members of the fleet as seen by this process
 * @param lease lease of the rollout controller; never held by an endpoint VM
 * @param objectStore the platform's object API
 * @param httpClient HTTP client
 * @param timeline events of this process
 * @param sharedServices services that components register for components that start later
 * @param metrics registry of this process's metrics
 */
public record NodeContext(
    VmIdentity self,
    EventLoopGroup eventLoops,
    Scheduler scheduler,
    NanoClock nanoClock,
    EpochClock epochClock,
    PeerNetwork network,
    PayloadRouter payloads,
    ConfigurationView configuration,
    MembershipView membership,
    LeaseView lease,
    VersionedObjectStore objectStore,
    HttpClient httpClient,
    Timeline timeline,
    SharedServices sharedServices,
    PrometheusRegistry metrics) {}
