package org.clementineford.node.internal;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.clementineford.node.ConfigurationView;
import org.clementineford.node.LeaseView;
import org.clementineford.node.MembershipView;

/** Metrics of the agents. */
public final class NodeMetrics {
  private NodeMetrics() {}

  /**
   * Registers the metrics.
   *
   * @param registry registry of the process
   * @param configuration configuration in force
   * @param membership members
   * @param lease lease of the rollout controller
   */
  public static void register(
      PrometheusRegistry registry,
      ConfigurationView configuration,
      MembershipView membership,
      LeaseView lease) {
    GaugeWithCallback.builder()
        .name("clementineford_configuration_revision")
        .help("Revision of the configuration in force")
        .callback(callback -> callback.call(configuration.current().revision()))
        .register(registry);
    GaugeWithCallback.builder()
        .name("clementineford_members")
        .help("Members by phase")
        .labelNames("phase")
        .callback(
            callback -> {
              for (MembershipView.Phase phase : MembershipView.Phase.values()) {
                long count = membership.members().stream().filter(m -> m.phase() == phase).count();
                callback.call(count, phase.name());
              }
            })
        .register(registry);
    GaugeWithCallback.builder()
        .name("clementineford_lease_fencing_number")
        .help("Fencing number of the rollout lease while this process holds it, else 0")
        .callback(callback -> callback.call(lease.fencingNumber().orElse(0)))
        .register(registry);
  }
}
