package org.clementineford.gateway.internal;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.clementineford.serving.model.EngineProfile;
import org.clementineford.serving.queueing.Admission;
import org.clementineford.serving.queueing.WaitingQueue;
import org.clementineford.serving.queueing.WaitingRequest;
import org.clementineford.serving.routing.EndpointState;
import org.clementineford.serving.routing.EngineModel;
import org.clementineford.serving.routing.Placement;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Requests of one service that wait at this entry VM until an engine has a free slot. */
final class EngineQueue {
  private static final Logger LOG = LoggerFactory.getLogger(EngineQueue.class);

  /** Lower bound of the share of the engines that this entry VM assumes for its own requests. */
  private static final double SMALLEST_SHARE = 0.05;

  /** Predicted wait above which some requests miss their latency goals of a few hundred ms. */
  private static final double OVERLOAD_MS = 150;

  /**
   * Passes of a fully loaded engine until the first event of a request, including the time to read
   * prompts between the passes.
   */
  private static final double FIRST_EVENT_PASSES = 3.5;

  private final GatewayState state;
  private final String service;
  private final WaitingQueue<RequestRun> queue = new WaitingQueue<>();
  private long minimumVersion;

  EngineQueue(GatewayState state, String service) {
    this.state = state;
    this.service = service;
  }

  /** Sends a request to an engine, or queues it, or refuses it if its wait would be too long. */
  void submit(RequestRun run, EngineProfile profile) {
    if (queue.size() == 0) {
      Optional<EndpointState> engine = place(run, profile);
      if (engine.isPresent()) {
        run.send(engine.get());
        return;
      }
    }
    WaitingRequest<RequestRun> request = run.waiting(costMs(run, profile));
    double waitMs = Admission.waitMs(queue.costMs() + request.costMs(), ownEngines());
    run.predictedWait(waitMs);
    OptionalDouble refusal = state.admission().refuse(waitMs, run.remainingMs());
    if (refusal.isPresent()) {
      run.refuse(Ending.OVERLOADED, refusal.getAsDouble());
      return;
    }
    queue.add(request);
    pump(profile);
  }

  private long minimumVersion(long now) {
    long minimum = state.versions(service).minimum(now);
    if (minimum > minimumVersion) {
      LOG.atInfo()
          .addKeyValue("service", service)
          .addKeyValue("version", minimum)
          .log("engines with older weights get no further requests");
      minimumVersion = minimum;
    }
    return minimum;
  }

  private double costMs(RequestRun run, EngineProfile profile) {
    double passes = Math.max(1, run.answerTokens(profile) / profile.stepsPerPass());
    return EngineModel.readMs(profile, run.promptTokens())
        + passes * EngineModel.passMs(profile, profile.slots()) / profile.slots();
  }

  private Optional<EndpointState> place(RequestRun run, EngineProfile profile) {
    long now = state.clock().nanoTime();
    List<EndpointState> engines = state.endpoints().ofService(service);
    return state
        .placement()
        .engine(
            engines,
            run.tried(),
            profile,
            run.promptTokens(),
            minimumVersion(now),
            run.route().mayRunAgain(),
            now);
  }

  /**
   * Returns the number of engines that work for this entry VM: the serving engines times this VM's
   * share of their requests.
   */
  private double ownEngines() {
    long now = state.clock().nanoTime();
    long minimum = minimumVersion(now);
    int engines = 0;
    int load = 0;
    int own = 0;
    for (EndpointState engine : state.endpoints().ofService(service)) {
      if (engine.acceptsRequests() && Placement.isServing(engine, minimum)) {
        engines++;
        load += engine.load();
        own += engine.outstanding();
      }
    }
    double share = load == 0 ? 1 : Math.max(SMALLEST_SHARE, (double) own / load);
    return engines * share;
  }

  /** Sends waiting requests while engines have free slots, and refuses those that are too late. */
  void pump(EngineProfile profile) {
    long now = state.clock().nanoTime();
    for (WaitingRequest<RequestRun> hopeless : queue.removeHopeless(now)) {
      hopeless.item().refuse(Ending.NOT_SENT_IN_TIME, state.admission().retryAfterSeconds(0));
    }
    while (queue.size() > 0) {
      long firstEvent = (long) (FIRST_EVENT_PASSES * EngineModel.passMs(profile, profile.slots()));
      Optional<WaitingRequest<RequestRun>> next =
          queue.poll(now, TimeUnit.MILLISECONDS.toNanos(firstEvent), isOverloaded());
      RequestRun run = next.get().item();
      Optional<EndpointState> engine = place(run, profile);
      if (engine.isEmpty()) {
        queue.add(next.get());
        return;
      }
      run.send(engine.get());
    }
  }

  private boolean isOverloaded() {
    return queue.costMs() > OVERLOAD_MS * ownEngines();
  }

  void remove(RequestRun run) {
    queue.remove(run);
  }
}
