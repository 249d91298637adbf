package org.clementineford.gateway.internal;

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
 * Keeps prompt parts that crash engines away from them: reports to the {@link RequestQuarantine}
 * what happened to requests, and ends the requests whose prompts it excludes.
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

  /** Adds a request that must end if a part of its prompt is quarantined. */
  void started(ProxiedRequest request) {
    if (!parts(request).isEmpty()) {
      requests.add(request);
    }
  }

  void ended(ProxiedRequest request) {
    requests.remove(request);
  }

  private static List<String> parts(ProxiedRequest request) {
    return request.metadata().sharedPromptParts();
  }

  /** Returns the part of a request's prompt that no engine may receive. */
  Optional<String> quarantinedPart(ProxiedRequest request) {
    return quarantine.quarantinedPart(request.service(), parts(request));
  }

  /** Returns the time after which requests with a quarantined part may be sent again. */
  double retryAfterSeconds(ProxiedRequest request, String part) {
    return quarantine.remainingNanos(request.service(), part) / NANOS_PER_SECOND;
  }

  /** Returns whether another attempt of a request is unlikely to crash another engine. */
  boolean mayRetry(ProxiedRequest request) {
    return quarantinedPart(request).isEmpty()
        && !quarantine.isSuspect(request.service(), parts(request));
  }

  /** Records that an engine has answered a prompt, or wrote for long enough to prove it sound. */
  void answered(ProxiedRequest request) {
    if (!parts(request).isEmpty()) {
      quarantine.answered(request.service(), parts(request));
      update();
    }
  }

  /** Records that a connection ended during a request, and finds out whether its engine crashed. */
  void interrupted(ProxiedRequest request, EndpointState engine) {
    if (parts(request).isEmpty()) {
      return;
    }
    quarantine.interrupted(
        name(engine), request.metadata().id(), request.service(), parts(request));
    if (probed.add(engine)) {
      pool.probe(
          engine,
          refused -> {
            probed.remove(engine);
            if (refused) {
              refusedConnection(engine);
            }
          });
    }
    update();
  }

  /** Records that an engine refused a connection, so that its process is not running. */
  void refusedConnection(EndpointState engine) {
    quarantine.crashed(name(engine));
    update();
  }

  private static String name(EndpointState engine) {
    return engine.endpoint().id() + "@" + engine.endpoint().incarnation();
  }

  /** Applies changes of the quarantine to the requests in progress. */
  void update() {
    Set<Suspect> before = quarantined;
    quarantined = quarantine.quarantined();
    if (quarantined.equals(before)) {
      return;
    }
    metrics.recordQuarantinedParts(quarantined.size());
    for (Suspect part : before) {
      if (!quarantined.contains(part)) {
        LOG.atInfo()
            .addKeyValue("service", part.service())
            .addKeyValue("part", part.id())
            .log("prompt part left quarantine");
      }
    }
    for (Suspect part : quarantined) {
      if (!before.contains(part)) {
        List<Long> crashAgesMs = quarantine.crashAgesMs(part);
        LOG.atWarn()
            .addKeyValue("service", part.service())
            .addKeyValue("part", part.id())
            .addKeyValue("crashes", crashAgesMs.size())
            .addKeyValue("crashAgesMs", crashAgesMs)
            .log(
                "prompt part quarantined, since engines crash on it; requests with it are refused");
      }
    }
    for (ProxiedRequest request : List.copyOf(requests)) {
      quarantinedPart(request).ifPresent(request::partQuarantined);
    }
  }
}
