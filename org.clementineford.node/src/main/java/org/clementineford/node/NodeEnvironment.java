package org.clementineford.node;

import io.netty.channel.EventLoopGroup;
import java.util.function.BiFunction;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.platform.VersionedObjectStore;
import org.clementineford.kernel.platform.VmList;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;

/**
 * External dependencies of a node.
 *
 * @param eventLoops threads for sockets and timers; the caller shuts them down
 * @param scheduler timers
 * @param nanoClock monotonic clock
 * @param epochClock wall clock
 * @param shaping limits of the network link
 * @param objectStoreFactory creates the object API adapter from a client and the platform's address
 * @param vmListFactory creates the VM list adapter from a client and the platform's address
 */
public record NodeEnvironment(
    EventLoopGroup eventLoops,
    Scheduler scheduler,
    NanoClock nanoClock,
    EpochClock epochClock,
    LinkShaping shaping,
    BiFunction<HttpClient, HostPort, VersionedObjectStore> objectStoreFactory,
    BiFunction<HttpClient, HostPort, VmList> vmListFactory) {}
