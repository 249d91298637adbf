package org.clementineford.serving.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;
import org.clementineford.serving.model.EngineProfile;

/**
 * Chooses the endpoint for a request by predicted cost, which takes uneven load, slow engines and
 * failing endpoints into account.
 */
public final class Placement {
  /**
   * Time by which an engine in another data centre must be faster than one in the same data centre,
   * in milliseconds, since links between regions have little bandwidth and are shared.
   */
  private static final double REMOTE_PENALTY_MS = 50;

  /** Random share added to the predicted time, so that entry VMs do not all choose one engine. */
  private static final double JITTER = 0.1;

  /**
   * Number of requests by which an endpoint of a plain service in another data centre must be less
   * loaded than one in the same data centre.
   */
  private static final double LOCAL_ADVANTAGE_REQUESTS = 0.5;

  /** Relative increase of the cost of an endpoint that fails all requests; 4 makes it five-fold. */
  private static final double FAILURE_COST_FACTOR = 4;

  /** Added cost that exceeds the cost of any other endpoint, so the endpoint is chosen last. */
  private static final double LAST_CHOICE_COST = 1e9;

  private final String dataCentre;
  private final DoubleSupplier random;

  /**
   * Creates a placement for an entry VM.
   *
   * @param dataCentre data centre of this entry VM
   * @param random source of random numbers in [0, 1)
   */
  public Placement(String dataCentre, DoubleSupplier random) {
    this.dataCentre = dataCentre;
    this.random = random;
  }

  /**
   * Chooses the engine that is predicted to emit the first token soonest.
   *
   * @param engines engines of the service
   * @param tried IDs of the endpoints to which this request was sent before
   * @param profile profile of the engines
   * @param promptTokens number of prompt tokens
   * @param minimumVersion returns the lowest version of the weights with which an engine may answer
   *     this request, which depends on the wait there
   * @param repeatable true if the request may be sent again, and so may be the trial request of a
   *     suspended engine
   * @param now monotonic time in nanoseconds
   * @return the engine; empty if there is none with a free slot that may answer the request
   */
  public Optional<EndpointState> chooseEngine(
      List<EndpointState> engines,
      Set<String> tried,
      EngineProfile profile,
      int promptTokens,
      ToLongFunction<EndpointState> minimumVersion,
      boolean repeatable,
      long now) {
    return cheapest(
        engines,
        engine ->
            isCandidate(engine, tried, now)
                && engine.load() < profile.slots()
                && engine.hasAllowance()
                && isServing(engine, minimumVersion.applyAsLong(engine)),
        engine -> {
          double ms = EngineLatencyModel.firstTokenMs(profile, engine, promptTokens);
          return (ms * (1 + JITTER * random.getAsDouble()) + remotePenaltyMs(engine))
              * failureFactor(engine, now);
        },
        repeatable,
        now);
  }

  /**
   * Returns whether an engine may answer requests, at once or after they have waited.
   *
   * @param engine the engine
   * @param minimumVersion lowest version of the weights that may answer
   * @return true if it has weights of that version or a later one and is not about to change them
   */
  public static boolean isServing(EndpointState engine, long minimumVersion) {
    return engine.weightVersion() >= Math.max(1, minimumVersion)
        && !engine.report().changingVersion();
  }

  /**
   * Chooses an endpoint of a plain service.
   *
   * @param endpoints endpoints of the service
   * @param tried IDs of the endpoints to which this request was sent before
   * @param connections number of connections that this entry VM may have to one endpoint; each
   *     carries one request at a time
   * @param repeatable true if the request may be sent again, and so may be the trial request of a
   *     suspended endpoint
   * @param now monotonic time in nanoseconds
   * @return the endpoint with the lowest cost, by load and failures; empty if none is usable
   */
  public Optional<EndpointState> choosePlainEndpoint(
      List<EndpointState> endpoints,
      Set<String> tried,
      int connections,
      boolean repeatable,
      long now) {
    return cheapest(
        endpoints,
        endpoint -> isCandidate(endpoint, tried, now) && endpoint.outstanding() < connections,
        endpoint -> {
          double localAdvantage =
              endpoint.endpoint().dataCentre().equals(dataCentre) ? LOCAL_ADVANTAGE_REQUESTS : 0;
          double jitter = random.getAsDouble() * LOCAL_ADVANTAGE_REQUESTS;
          return (endpoint.load() + 1 + jitter) * failureFactor(endpoint, now) - localAdvantage;
        },
        repeatable,
        now);
  }

  /**
   * Returns the candidate of the lowest cost. An endpoint that is due for a trial request is chosen
   * last if the request is not repeatable.
   */
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
        endpointCost += LAST_CHOICE_COST;
      }
      if (endpointCost < bestCost) {
        bestCost = endpointCost;
        best = endpoint;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns the factor by which failures increase the cost of an endpoint. It is 1 for an endpoint
   * that is due for a trial request, since the trial decides, not the earlier failures.
   */
  private static double failureFactor(EndpointState endpoint, long now) {
    return endpoint.isTrialDue(now) ? 1 : 1 + FAILURE_COST_FACTOR * endpoint.failureScore(now);
  }

  private boolean isCandidate(EndpointState endpoint, Set<String> tried, long now) {
    return endpoint.mark(now).isEmpty() && !tried.contains(endpoint.endpoint().id());
  }

  private double remotePenaltyMs(EndpointState engine) {
    return engine.endpoint().dataCentre().equals(dataCentre) ? 0 : REMOTE_PENALTY_MS;
  }
}
