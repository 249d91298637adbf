package org.clementineford.gateway.internal;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.clementineford.serving.quarantine.RequestQuarantine;
import org.clementineford.serving.quarantine.Suspect;
import org.clementineford.serving.routing.EndpointState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps requests that crash endpoints away from them: reports to the {@link RequestQuarantine} what
 * happened to requests, and ends those that it excludes.
 */
final class QuarantineGuard {
  private static final Logger LOG = LoggerFactory.getLogger(QuarantineGuard.class);
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final RequestQuarantine quarantine;
  private final EndpointConnectionPool pool;
  private final GatewayMetrics metrics;
  private final Set<ProxiedRequest> requests = new LinkedHashSet<>();
  private final Set<EndpointState> probed = new HashSet<>();
  private Set<Suspect> quarantined = Set.of();

  QuarantineGuard(
      RequestQuarantine quarantine, EndpointConnectionPool pool, GatewayMetrics metrics) {
    this.quarantine = quarantine;
    this.pool = pool;
    this.metrics = metrics;
  }

  /** Adds a request that must end if it is quarantined. */
  void started(ProxiedRequest request) {
    requests.add(request);
  }

  void ended(ProxiedRequest request) {
    requests.remove(request);
  }

  /**
   * Returns what a request may be recognized by. Its identity, which needs a digest of its body, is
   * included only if a suspect has the same target and caller.
   */
  private List<Suspect> suspects(ProxiedRequest request) {
    List<Suspect> parts = Suspect.parts(request.service(), request.metadata().sharedPromptParts());
    if (!quarantine.hasRequestSuspects() || !quarantine.mayBeSuspect(request.identity().target())) {
      return parts;
    }
    List<Suspect> all = new ArrayList<>();
    all.add(request.identity().asSuspect(request.service()));
    all.addAll(parts);
    return all;
  }

  /** Returns what excludes a request from all endpoints. */
  Optional<Suspect> quarantinedSuspect(ProxiedRequest request) {
    return quarantine.quarantinedSuspect(suspects(request));
  }

  /** Returns the time after which requests with a quarantined suspect may be sent again. */
  double retryAfterSeconds(Suspect suspect) {
    return quarantine.remainingNanos(suspect) / NANOS_PER_SECOND;
  }

  /** Returns whether another attempt of a request is unlikely to crash another endpoint. */
  boolean mayRetry(ProxiedRequest request) {
    List<Suspect> suspects = suspects(request);
    return quarantine.quarantinedSuspect(suspects).isEmpty() && !quarantine.isSuspect(suspects);
  }

  /**
   * Records that an endpoint has answered a request, or wrote for long enough to prove it sound.
   */
  void answered(ProxiedRequest request) {
    List<Suspect> suspects = suspects(request);
    if (!suspects.isEmpty()) {
      quarantine.answered(suspects);
      update();
    }
  }

  /**
   * Records that a connection ended during a request, and finds out whether its endpoint crashed.
   */
  void interrupted(ProxiedRequest request, EndpointState endpoint) {
    List<Suspect> suspects = new ArrayList<>();
    suspects.add(request.identity().asSuspect(request.service()));
    suspects.addAll(Suspect.parts(request.service(), request.metadata().sharedPromptParts()));
    quarantine.interrupted(name(endpoint), request.metadata().id(), suspects);
    if (probed.add(endpoint)) {
      pool.probe(
          endpoint,
          refused -> {
            probed.remove(endpoint);
            if (refused) {
              stopped(endpoint);
            }
          });
    }
    update();
  }

  /** Records that an endpoint does not run: it refused a connection, or is no longer listed. */
  void stopped(EndpointState endpoint) {
    quarantine.crashed(name(endpoint));
    update();
  }

  private static String name(EndpointState endpoint) {
    return endpoint.endpoint().id() + "@" + endpoint.endpoint().incarnation();
  }

  /** Applies changes of the quarantine to the requests in progress. */
  void update() {
    Set<Suspect> before = quarantined;
    quarantined = quarantine.quarantined();
    if (quarantined.equals(before)) {
      return;
    }
    for (Suspect.Kind kind : Suspect.Kind.values()) {
      metrics.recordQuarantined(
          kind, quarantined.stream().filter(suspect -> suspect.kind() == kind).count());
    }
    for (Suspect suspect : before) {
      if (!quarantined.contains(suspect)) {
        LOG.atInfo()
            .addKeyValue("kind", suspect.kind())
            .addKeyValue("service", suspect.service())
            .addKeyValue("suspect", suspect.id())
            .log("suspect left quarantine");
      }
    }
    for (Suspect suspect : quarantined) {
      if (!before.contains(suspect)) {
        List<Long> crashAgesMs = quarantine.crashAgesMs(suspect);
        LOG.atWarn()
            .addKeyValue("kind", suspect.kind())
            .addKeyValue("service", suspect.service())
            .addKeyValue("suspect", suspect.id())
            .addKeyValue("crashes", crashAgesMs.size())
            .addKeyValue("crashAgesMs", crashAgesMs)
            .log("suspect quarantined, since endpoints crash on it; requests with it are refused");
      }
    }
    for (ProxiedRequest request : List.copyOf(requests)) {
      request
          .guarded(() -> quarantinedSuspect(request).ifPresent(request::suspectQuarantined))
          .run();
    }
  }
}
