package org.clementineford.entry.internal.requests;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Request metrics of the entry VM. */
final class EntryMetrics {
  final Counter requests;
  final Counter refusals;
  final Counter retries;
  final Counter abortedResponses;
  final Counter droppedPayloads;
  final Counter callersDisconnected;
  final Counter replays;
  final Counter claimWrites;
  final Gauge inFlight;

  EntryMetrics(PrometheusRegistry registry) {
    requests =
        counter(
            registry, "requests", "Requests by client account and status.", "account", "status");
    refusals = counter(registry, "refusals", "Refusals by kind and run state.", "kind", "run");
    retries = counter(registry, "retries", "Attempts after the first, by reason.", "reason");
    abortedResponses =
        counter(registry, "broken_answers", "Answers cut off in the middle, by reason.", "reason");
    droppedPayloads =
        counter(registry, "dropped_payloads", "Late or mixed-up payloads dropped.", "reason");
    callersDisconnected = counter(registry, "callers_gone", "Requests whose caller went away.");
    replays = counter(registry, "replays", "Answers repeated from a claim or a report.", "source");
    claimWrites = counter(registry, "claim_writes", "Writes of claims, by result.", "result");
    inFlight =
        Gauge.builder()
            .name("clementineford_entry_requests_in_flight")
            .help("Requests in flight.")
            .register(registry);
  }

  private static Counter counter(
      PrometheusRegistry registry, String name, String help, String... labels) {
    return Counter.builder()
        .name("clementineford_entry_" + name)
        .help(help)
        .labelNames(labels)
        .register(registry);
  }
}
