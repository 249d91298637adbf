package org.clementineford.endpoint.internal.requests;

import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.timeline.Timeline;
import org.clementineford.requests.admission.RunRegistry;
import org.clementineford.transport.http.HttpClient;

/**
 * What the runs and back ends of one endpoint share.
 *
 * @param registry attempts seen
 * @param versions versions activated by this daemon
 * @param httpClient client for the back ends
 * @param clock monotonic clock
 * @param scheduler timers
 * @param timeline events of this process
 * @param metrics counters
 * @param drain counts runs in progress
 */
record RequestServices(
    RunRegistry<Run, AnswerBuffer> registry,
    ActivatedVersions versions,
    HttpClient httpClient,
    NanoClock clock,
    Scheduler scheduler,
    Timeline timeline,
    RequestMetrics metrics,
    DrainGate drain) {}
