package org.clementineford.entry.internal.requests;

import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.timeline.Timeline;
import org.clementineford.requests.attempts.RetryBudget;
import org.clementineford.requests.routing.EndpointTable;

/**
 * What all requests of an entry VM share.
 *
 * @param link connections to endpoints
 * @param chooser chooses endpoints
 * @param endpoints endpoints with their load
 * @param budget retry budget
 * @param claims claims on the platform
 * @param clock monotonic clock
 * @param scheduler timers
 * @param metrics counters
 * @param timeline events of this process
 */
record EntryServices(
    PeerLink link,
    TargetChooser chooser,
    EndpointTable endpoints,
    RetryBudget budget,
    ClaimStore claims,
    NanoClock clock,
    Scheduler scheduler,
    EntryMetrics metrics,
    Timeline timeline) {}
