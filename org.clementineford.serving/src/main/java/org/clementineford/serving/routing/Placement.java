package org.clementineford.serving.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.clementineford.serving.model.EngineProfile;

/** Chooses the endpoint of a request. Answers uneven load, slow engines and failing endpoints. */
public final class Placement {
  /**
   * Time by which an endpoint elsewhere must be faster than one in the same data centre, since
   * links between regions are narrow and shared.
   */
  private static final double ELSEWHERE_MS = 20;

  /** Share of the predicted time by which choices vary, so that entry VMs do not all agree. */
  private static final double SPREAD = 0.1;

  private final String dataCentre;
  private final DoubleSupplier random;

  /**
   * Creates a placement.
   *
   * @param dataCentre data centre of this entry VM
   * @param random numbers of at least 0 and below 1
   */
  public Placement(String dataCentre, DoubleSupplier random) {
    this.dataCentre = dataCentre;
    this.random = random;
  }

  /**
   * Chooses the engine that should emit the first token soonest.
   *
   * @param engines engines of the service
   * @param tried identities that this request was sent to before
   * @param profile profile of the engines
   * @param promptTokens tokens of the prompt
   * @param minimumVersion lowest version of weights that may answer
   * @param now monotonic time in nanoseconds
   * @return the engine; empty if each has as many requests as it runs at once
   */
  public Optional<EndpointState> engine(
      List<EndpointState> engines,
      Set<String> tried,
      EngineProfile profile,
      int promptTokens,
      long minimumVersion,
      long now) {
    EndpointState best = null;
    double bestMs = Double.MAX_VALUE;
    for (EndpointState engine : engines) {
      if (!isCandidate(engine, tried, now)
          || !isServing(engine, minimumVersion)
          || engine.load() >= profile.slots()) {
        continue;
      }
      double ms = EngineModel.firstTokenMs(profile, engine, promptTokens);
      ms = ms * (1 + SPREAD * random.getAsDouble()) + distanceMs(engine);
      ms += ms * 4 * engine.failureScore();
      if (ms < bestMs) {
        bestMs = ms;
        best = engine;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Tells whether an engine may answer requests, now or after those before them.
   *
   * @param engine the engine
   * @param minimumVersion lowest version of weights that may answer
   * @return true if it has such weights and is not about to change them
   */
  public static boolean isServing(EndpointState engine, long minimumVersion) {
    return engine.weightVersion() >= Math.max(1, minimumVersion)
        && !engine.report().changingVersion();
  }

  /**
   * Chooses an endpoint of a plain service.
   *
   * @param endpoints endpoints of the service
   * @param tried identities that this request was sent to before
   * @param now monotonic time in nanoseconds
   * @return the endpoint with the least load; empty if none is usable
   */
  public Optional<EndpointState> plain(List<EndpointState> endpoints, Set<String> tried, long now) {
    EndpointState best = null;
    double bestCost = Double.MAX_VALUE;
    for (EndpointState endpoint : endpoints) {
      if (!isCandidate(endpoint, tried, now)) {
        continue;
      }
      double cost = endpoint.load() + 1 + random.getAsDouble() / 2;
      cost *= 1 + 4 * endpoint.failureScore();
      if (endpoint.endpoint().dataCentre().equals(dataCentre)) {
        cost -= 0.5;
      }
      if (cost < bestCost) {
        bestCost = cost;
        best = endpoint;
      }
    }
    return Optional.ofNullable(best);
  }

  private boolean isCandidate(EndpointState endpoint, Set<String> tried, long now) {
    return endpoint.acceptsRequests()
        && !tried.contains(endpoint.endpoint().id())
        && endpoint.isHealthy(now);
  }

  private double distanceMs(EndpointState engine) {
    return engine.endpoint().dataCentre().equals(dataCentre) ? 0 : ELSEWHERE_MS;
  }
}
