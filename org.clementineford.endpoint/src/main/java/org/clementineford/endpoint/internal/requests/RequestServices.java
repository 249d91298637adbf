package org.clementineford.endpoint.internal.requests;

import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.timeline.Timeline;
import org.clementineford.requests.ProcessEnd;
import org.clementineford.requests.admission.RunRegistry;
import org.clementineford.transport.http.HttpClient;

/**
 * Services shared by the runs and back ends of one endpoint.
 *
 * @param registry attempts that this endpoint has received
 * @param versions model versions that this daemon has activated
 * @param httpClient client for requests to the back ends
 * @param clock monotonic clock
 * @param scheduler timers
 * @param timeline event log of this process
 * @param metrics counters of the request component
 * @param drainTracker runs in progress, and state of a drain
 * @param processEnd when the runs end because the process stops
 */
record RequestServices(
    RunRegistry<Run, AnswerBuffer> registry,
    ActivatedVersions versions,
    HttpClient httpClient,
    NanoClock clock,
    Scheduler scheduler,
    Timeline timeline,
    RequestMetrics metrics,
    DrainTracker drainTracker,
    ProcessEnd processEnd) {}
