package org.clementineford.endpoint.internal.requests;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.clementineford.requests.RefusalKind;

/** Counters of the request component. */
final class RequestMetrics {
  private final Counter answers;
  private final Counter refusals;
  private final Counter cost;

  RequestMetrics(PrometheusRegistry registry) {
    answers =
        Counter.builder()
            .name("clementineford_endpoint_answers_total")
            .help("Whole answers by back end.")
            .labelNames("back_end")
            .register(registry);
    refusals =
        Counter.builder()
            .name("clementineford_endpoint_refusals_total")
            .help("Refusals by kind.")
            .labelNames("kind")
            .register(registry);
    cost =
        Counter.builder()
            .name("clementineford_endpoint_cost_tokens_total")
            .help("Actual cost of whole answers by client account, in tokens.")
            .labelNames("client_account")
            .register(registry);
  }

  void answered(String backEnd, String clientAccount, long costTokens) {
    answers.labelValues(backEnd).inc();
    cost.labelValues(clientAccount).inc(costTokens);
  }

  void refused(RefusalKind kind) {
    refusals.labelValues(kind.wireName()).inc();
  }
}
