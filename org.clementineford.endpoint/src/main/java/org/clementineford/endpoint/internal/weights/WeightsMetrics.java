package org.clementineford.endpoint.internal.weights;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Metrics of the weights component. */
final class WeightsMetrics {
  private final Counter received;
  private final Counter sent;
  private final Counter refetched;
  private final Gauge held;

  WeightsMetrics(PrometheusRegistry registry) {
    received =
        Counter.builder()
            .name("clementineford_weights_received_bytes_total")
            .help("Verified bytes of weights by the kind of their source.")
            .labelNames("source")
            .register(registry);
    sent =
        Counter.builder()
            .name("clementineford_weights_sent_bytes_total")
            .help("Bytes of weights sent to peers.")
            .register(registry);
    refetched =
        Counter.builder()
            .name("clementineford_weights_refetched_bytes_total")
            .help("Bytes of weights that were wasted and were fetched again.")
            .register(registry);
    held =
        Gauge.builder()
            .name("clementineford_weights_chunks_held")
            .help("Verified chunks of the wanted version.")
            .labelNames("model", "version")
            .register(registry);
  }

  void received(String source, long bytes) {
    received.labelValues(source).inc(bytes);
  }

  void sent(long bytes) {
    sent.inc(bytes);
  }

  void refetched(long bytes) {
    refetched.inc(bytes);
  }

  void held(String model, String version, int chunks) {
    held.labelValues(model, version).set(chunks);
  }
}
