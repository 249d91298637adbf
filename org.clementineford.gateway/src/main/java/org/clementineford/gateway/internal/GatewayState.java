package org.clementineford.gateway.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import org.agrona.concurrent.NanoClock;
import org.clementineford.fleet.VmSettings;
import org.clementineford.serving.model.RoutingConfiguration;
import org.clementineford.serving.model.Service;
import org.clementineford.serving.queueing.Admission;
import org.clementineford.serving.routing.ConnectionShare;
import org.clementineford.serving.routing.EndpointTable;
import org.clementineford.serving.routing.Placement;
import org.clementineford.serving.routing.RetryBudget;
import org.clementineford.serving.routing.VersionGate;

/** What an entry VM believes and what its requests share. Used by one thread. */
final class GatewayState {
  /** Time that a request may take from the check of its key to its start at an endpoint. */
  private static final long KEY_MARGIN_MS = 400;

  private final VmSettings settings;
  private final NanoClock clock;
  private final DoubleSupplier random;
  private final IntSupplier entryVms;
  private final EndpointTable endpoints = new EndpointTable();
  private final Placement placement;
  private final Admission admission;
  private final Map<String, VersionGate> versions = new HashMap<>();
  private final Map<String, RetryBudget> budgets = new HashMap<>();
  private RoutingConfiguration configuration;

  GatewayState(VmSettings settings, NanoClock clock, DoubleSupplier random, IntSupplier entryVms) {
    this.settings = settings;
    this.clock = clock;
    this.random = random;
    this.entryVms = entryVms;
    this.placement = new Placement(settings.dataCentre(), random);
    this.admission = new Admission(random);
  }

  NanoClock clock() {
    return clock;
  }

  double random() {
    return random.getAsDouble();
  }

  EndpointTable endpoints() {
    return endpoints;
  }

  Placement placement() {
    return placement;
  }

  Admission admission() {
    return admission;
  }

  /** Returns the gate of a service; each service has weights of its own. */
  VersionGate versions(String service) {
    return versions.computeIfAbsent(
        service, name -> new VersionGate(settings.bounds().versionMs()));
  }

  /** Returns the configuration in force; null until one is known. */
  RoutingConfiguration configuration() {
    return configuration;
  }

  /** Puts a configuration into force unless a newer one is. */
  boolean configure(RoutingConfiguration next) {
    if (configuration != null && configuration.version() >= next.version()) {
      return false;
    }
    configuration = next;
    return true;
  }

  /** Returns how many connections this entry VM may have to one endpoint of a service. */
  int connections(Service service) {
    return ConnectionShare.connections(service.maxConnections(), entryVms.getAsInt());
  }

  RetryBudget budget(String service) {
    return budgets.computeIfAbsent(
        service,
        name ->
            new RetryBudget(
                settings.bounds().retryRatio(),
                settings.bounds().retryFixed(),
                settings.bounds().retryWindowSeconds(),
                entryVms));
  }

  /** Tells whether keys can be trusted if the configuration was last proven this long ago. */
  boolean areKeysProven(long configurationAgeNanos) {
    long limitMs = settings.bounds().keyRevocationMs() - KEY_MARGIN_MS;
    return !settings.bounds().keysNeedProof()
        || configurationAgeNanos < TimeUnit.MILLISECONDS.toNanos(limitMs);
  }
}
