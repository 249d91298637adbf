package org.clementineford.serving.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.clementineford.serving.model.EngineProfile;

/** Chooses the endpoint of a request. Answers uneven load, slow engines and failing endpoints. */
public final class Placement {
  /**
   * Time by which an endpoint elsewhere must be faster than one in the same data centre, since
   * links between regions are narrow and shared.
   */
  private static final double ELSEWHERE_MS = 50;

  /** Share of the predicted time by which choices vary, so that entry VMs do not all agree. */
  private static final double SPREAD = 0.1;

  /** Requests by which an endpoint elsewhere must be less loaded than one in the data centre. */
  private static final double NEAR_REQUESTS = 0.5;

  /** Factor on the cost of an endpoint that fails all requests, less one. */
  private static final double FAILURE_WEIGHT = 4;

  /** Cost above that of any endpoint that works. */
  private static final double LAST_CHOICE = 1e9;

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
   * @param repeatable true if the request may serve as a trial of an engine that failed
   * @param now monotonic time in nanoseconds
   * @return the engine; empty if each has as many requests as it runs at once
   */
  public Optional<EndpointState> engine(
      List<EndpointState> engines,
      Set<String> tried,
      EngineProfile profile,
      int promptTokens,
      long minimumVersion,
      boolean repeatable,
      long now) {
    return cheapest(
        engines,
        engine ->
            isCandidate(engine, tried, now)
                && isServing(engine, minimumVersion)
                && engine.load() < profile.slots()
                && engine.hasAllowance(),
        engine -> {
          double ms = EngineModel.firstTokenMs(profile, engine, promptTokens);
          return (ms * (1 + SPREAD * random.getAsDouble()) + distanceMs(engine))
              * failureFactor(engine, now);
        },
        repeatable,
        now);
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
   * @param connections connections that this entry VM may have to one endpoint; each carries one
   *     request at a time
   * @param repeatable true if the request may serve as a trial of an endpoint that failed
   * @param now monotonic time in nanoseconds
   * @return the endpoint with the least load; empty if none is usable
   */
  public Optional<EndpointState> plain(
      List<EndpointState> endpoints,
      Set<String> tried,
      int connections,
      boolean repeatable,
      long now) {
    return cheapest(
        endpoints,
        endpoint -> isCandidate(endpoint, tried, now) && endpoint.outstanding() < connections,
        endpoint -> {
          double near = endpoint.endpoint().dataCentre().equals(dataCentre) ? NEAR_REQUESTS : 0;
          double spread = random.getAsDouble() * NEAR_REQUESTS;
          return (endpoint.load() + 1 + spread) * failureFactor(endpoint, now) - near;
        },
        repeatable,
        now);
  }

  /** Chooses among endpoints, those that are due for a trial last unless the request may fail. */
  private static Optional<EndpointState> cheapest(
      List<EndpointState> endpoints,
      Predicate<EndpointState> candidate,
      ToDoubleFunction<EndpointState> cost,
      boolean repeatable,
      long now) {
    EndpointState best = null;
    double bestCost = Double.MAX_VALUE;
    for (EndpointState endpoint : endpoints) {
      if (!candidate.test(endpoint)) {
        continue;
      }
      double endpointCost = cost.applyAsDouble(endpoint);
      if (endpoint.isTrialDue(now) && !repeatable) {
        endpointCost += LAST_CHOICE;
      }
      if (endpointCost < bestCost) {
        bestCost = endpointCost;
        best = endpoint;
      }
    }
    return Optional.ofNullable(best);
  }

  /** An endpoint that is due for a trial is judged by the trial, not by its earlier failures. */
  private static double failureFactor(EndpointState endpoint, long now) {
    return endpoint.isTrialDue(now) ? 1 : 1 + FAILURE_WEIGHT * endpoint.failureScore(now);
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
