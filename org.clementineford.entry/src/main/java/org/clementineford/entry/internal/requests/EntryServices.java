package org.clementineford.entry.internal.requests;

import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.timeline.Timeline;
import org.clementineford.requests.ProcessEnd;
import org.clementineford.requests.attempts.RetryBudget;
import org.clementineford.requests.routing.EndpointTable;

/**
 * Services shared by all requests of an entry VM.
 *
 * @param connections connections to endpoints
 * @param chooser chooses endpoints for attempts
 * @param endpoints known endpoints and their load
 * @param budget retry budget
 * @param claims claims stored on the platform
 * @param clock monotonic clock
 * @param scheduler scheduler of timers
 * @param metrics request metrics
 * @param timeline event timeline of this process
 * @param processEnd when the requests end because the process stops
 */
record EntryServices(
    PeerExchanges connections,
    TargetChooser chooser,
    EndpointTable endpoints,
    RetryBudget budget,
    ClaimStore claims,
    NanoClock clock,
    Scheduler scheduler,
    EntryMetrics metrics,
    Timeline timeline,
    ProcessEnd processEnd) {}
