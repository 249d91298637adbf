package org.clementineford.gateway.internal;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.clementineford.serving.quarantine.Suspect;
import org.clementineford.serving.routing.AttemptOutcome;
import org.clementineford.serving.routing.EndpointMark;

/** Request counters and the latency histogram of a gateway. */
final class GatewayMetrics {
  private static final double MILLIS_PER_SECOND = 1000;
  private static final double[] LATENCY_BOUNDS_SECONDS = {
    0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8
  };

  private static final double[] LATENESS_BOUNDS_SECONDS = {0.1, 0.25, 0.5, 1, 2, 4};

  private final AtomicLong readCount = new AtomicLong();
  private final AtomicLong endedCount = new AtomicLong();
  private final Counter requestsRead;
  private final Counter requests;
  private final Counter callerCloses;
  private final Counter unansweredRequests;
  private final Counter failedAttempts;
  private final Gauge quarantinedParts;
  private final Gauge quarantinedRequests;
  private final Gauge markedEndpoints;
  private final Gauge platformEra;
  private final Gauge unconfirmedEntries;
  private final Gauge observing;
  private final Gauge copyAge;
  private final Histogram firstAnswerLatency;
  private final Histogram eventLoopLateness;

  GatewayMetrics(PrometheusRegistry registry) {
    requestsRead =
        Counter.builder()
            .name("clementineford_entry_requests_read_total")
            .help("Requests that were read completely")
            .register(registry);
    callerCloses =
        Counter.builder()
            .name("clementineford_entry_caller_closes_total")
            .help("Closes of callers' connections, by reason")
            .labelNames("reason")
            .register(registry);
    unansweredRequests =
        Counter.builder()
            .name("clementineford_entry_requests_unanswered_total")
            .help("Requests read completely whose connection closed before the end of their answer")
            .labelNames("reason")
            .register(registry);
    requests =
        Counter.builder()
            .name("clementineford_entry_requests_total")
            .help("Requests by how they ended")
            .labelNames("ending")
            .register(registry);
    failedAttempts =
        Counter.builder()
            .name("clementineford_entry_failed_attempts_total")
            .help("Sends to endpoints that brought no answer, by outcome")
            .labelNames("outcome")
            .register(registry);
    quarantinedParts =
        Gauge.builder()
            .name("clementineford_entry_quarantined_prompt_parts")
            .help("Parts of prompts that no engine receives, since engines crash on them")
            .register(registry);
    quarantinedRequests =
        Gauge.builder()
            .name("clementineford_entry_quarantined_requests")
            .help("Requests, by target, caller and body, that no endpoint receives")
            .register(registry);
    markedEndpoints =
        Gauge.builder()
            .name("clementineford_entry_marked_endpoints")
            .help("Listed endpoints that get no request now, by the first reason that holds")
            .labelNames("mark")
            .register(registry);
    platformEra =
        Gauge.builder()
            .name("clementineford_entry_platform_era")
            .help("Era of the platform's history; it rises with each restoration from a copy")
            .register(registry);
    unconfirmedEntries =
        Gauge.builder()
            .name("clementineford_entry_unconfirmed_platform_entries")
            .help("Objects in use, or left out of use, against what the platform shows")
            .labelNames("kind")
            .register(registry);
    observing =
        Gauge.builder()
            .name("clementineford_entry_observing")
            .help("1 if this VM watches the platform, 0 if it follows observers")
            .register(registry);
    copyAge =
        Gauge.builder()
            .name("clementineford_entry_platform_copy_age_seconds")
            .help("Time since the copy of a kind of platform objects was last proved current")
            .labelNames("kind")
            .register(registry);
    firstAnswerLatency =
        Histogram.builder()
            .name("clementineford_entry_first_answer_seconds")
            .help("Time until an answer or its first event was passed on")
            .classicOnly()
            .classicUpperBounds(LATENCY_BOUNDS_SECONDS)
            .register(registry);
    eventLoopLateness =
        Histogram.builder()
            .name("clementineford_entry_event_loop_late_seconds")
            .help("Time by which a periodic task of the event loop ran too late, if 50 ms or more")
            .classicOnly()
            .classicUpperBounds(LATENESS_BOUNDS_SECONDS)
            .register(registry);
  }

  /** Returns the number of requests that were read. May be called from any thread. */
  long read() {
    return readCount.get();
  }

  /** Returns the number of requests that ended. May be called from any thread. */
  long ended() {
    return endedCount.get();
  }

  void recordRead() {
    readCount.incrementAndGet();
    requestsRead.inc();
  }

  void recordClose(CallerClose reason) {
    callerCloses.labelValues(reason.name()).inc();
  }

  void recordUnanswered(CallerClose reason, int count) {
    unansweredRequests.labelValues(reason.name()).inc(count);
  }

  void recordEnd(String ending) {
    endedCount.incrementAndGet();
    requests.labelValues(ending).inc();
  }

  void recordFailedAttempt(AttemptOutcome outcome) {
    failedAttempts.labelValues(outcome.name()).inc();
  }

  void recordQuarantined(Suspect.Kind kind, long count) {
    switch (kind) {
      case PROMPT_PART -> quarantinedParts.set(count);
      case REQUEST -> quarantinedRequests.set(count);
      default -> throw new IllegalStateException("unhandled kind " + kind);
    }
  }

  void recordMarks(Map<EndpointMark, Integer> counts) {
    for (EndpointMark mark : EndpointMark.values()) {
      markedEndpoints.labelValues(mark.name()).set(counts.getOrDefault(mark, 0));
    }
  }

  void recordPlatformCopy(String kind, long era, int unconfirmed) {
    platformEra.set(era);
    unconfirmedEntries.labelValues(kind).set(unconfirmed);
  }

  void recordObserving(boolean isObserving) {
    observing.set(isObserving ? 1 : 0);
  }

  void recordCopyAge(String kind, long ageMs) {
    copyAge.labelValues(kind).set(ageMs / MILLIS_PER_SECOND);
  }

  void recordEventLoopLateness(long lateMs) {
    eventLoopLateness.observe(lateMs / MILLIS_PER_SECOND);
  }

  void recordFirstAnswer(long firstMs) {
    firstAnswerLatency.observe(firstMs / MILLIS_PER_SECOND);
  }
}
