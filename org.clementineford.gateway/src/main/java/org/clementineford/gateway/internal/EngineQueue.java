package org.clementineford.gateway.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.clementineford.serving.model.EngineProfile;
import org.clementineford.serving.queueing.QueueAdmissionPolicy;
import org.clementineford.serving.queueing.WaitingQueue;
import org.clementineford.serving.queueing.WaitingRequest;
import org.clementineford.serving.routing.EndpointState;
import org.clementineford.serving.routing.EngineLatencyModel;
import org.clementineford.serving.routing.Placement;
import org.clementineford.serving.routing.RequestRateLimit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Requests of one service that wait at this entry VM until an engine has a free slot. */
final class EngineQueue {
  private static final Logger LOG = LoggerFactory.getLogger(EngineQueue.class);

  /** Lower bound of the share of the engines that this entry VM assumes for its own requests. */
  private static final double MIN_ENGINE_SHARE = 0.05;

  /** Predicted wait above which some requests miss their latency goals of a few hundred ms. */
  private static final double OVERLOAD_WAIT_MS = 150;

  /**
   * Passes of a fully loaded engine until the first event of a request, including the time to read
   * prompts between the passes.
   */
  private static final double FIRST_EVENT_PASSES = 3.5;

  private static final double MS_PER_SECOND = 1_000;

  private final GatewayState state;
  private final String service;
  private final WaitingQueue<ProxiedRequest> queue = new WaitingQueue<>();
  private long lastMinimumVersion;

  EngineQueue(GatewayState state, String service) {
    this.state = state;
    this.service = service;
  }

  /**
   * Sends a request to an engine, or queues it, or refuses it if its wait would be too long. A
   * started stream goes ahead of waiting requests, and is not refused.
   */
  void submit(ProxiedRequest request, EngineProfile profile) {
    if (queue.size() == 0 || request.isStarted()) {
      Optional<EndpointState> engine = findEngine(request, profile);
      if (engine.isPresent()) {
        request.send(engine.get());
        return;
      }
    }
    if (refusedForPause(request)) {
      return;
    }
    WaitingRequest<ProxiedRequest> waiting = request.toWaitingRequest(costMs(request, profile));
    double waitMs =
        QueueAdmissionPolicy.predictWaitMs(
            queue.costMs() + waiting.costMs(),
            effectiveEngines(profile, (queue.costMs() + waiting.costMs()) / (queue.size() + 1)));
    request.trace().recordPredictedWait(waitMs);
    OptionalDouble refusal = state.admission().retryAfterIfRefused(waitMs, request.remainingMs());
    if (refusal.isPresent() && !request.isStarted()) {
      request.trace().recordMarks(state.marks(service));
      request.refuse(FailureReason.OVERLOADED, refusal.getAsDouble());
      return;
    }
    queue.add(waiting);
    dispatchWaiting(profile);
  }

  /**
   * Refuses a request that has not begun if all engines asked for a pause, and returns whether it
   * did.
   */
  private boolean refusedForPause(ProxiedRequest request) {
    long pauseNanos = request.isStarted() ? 0 : state.pauseNanos(service);
    if (pauseNanos > 0) {
      request.trace().recordMarks(state.marks(service));
      request.refuse(
          FailureReason.ENDPOINTS_PAUSED, pauseNanos / (double) TimeUnit.SECONDS.toNanos(1));
    }
    return pauseNanos > 0;
  }

  private long minimumVersion(long now) {
    long minimum = state.minimumWeightVersion(service).minimum(now);
    if (minimum > lastMinimumVersion) {
      LOG.atInfo()
          .addKeyValue("service", service)
          .addKeyValue("version", minimum)
          .log("engines with older weights get no further requests");
      lastMinimumVersion = minimum;
    }
    return minimum;
  }

  /** Returns the lowest version with which an engine may answer, given the wait there. */
  private long minimumVersion(
      EndpointState engine, EngineProfile profile, int promptTokens, long now) {
    double firstTokenMs =
        EngineLatencyModel.firstTokenAmongOthersMs(profile, engine, promptTokens, state.entryVms());
    return Math.max(
        minimumVersion(now), state.minimumWeightVersion(service).minimumFor(now, firstTokenMs));
  }

  private double costMs(ProxiedRequest request, EngineProfile profile) {
    double passes = Math.max(1, request.expectedAnswerTokens(profile) / profile.stepsPerPass());
    return EngineLatencyModel.prefillMs(profile, request.promptTokens())
        + passes * EngineLatencyModel.passMs(profile, profile.slots()) / profile.slots();
  }

  /** Returns the engine to which a request would be sent now; empty if none has a free slot. */
  Optional<EndpointState> findEngine(ProxiedRequest request, EngineProfile profile) {
    long now = state.clock().nanoTime();
    List<EndpointState> engines = state.endpoints().ofService(service);
    return state
        .placement()
        .chooseEngine(
            engines,
            request.triedEndpoints(),
            profile,
            request.promptTokens(),
            engine -> minimumVersion(engine, profile, request.promptTokens(), now),
            request.route().mayRunAgain(),
            now);
  }

  /**
   * Returns the number of engines that work for this entry VM: the serving engines times this VM's
   * share of their requests. One that limits its requests counts as no more than the engine time of
   * those that this VM may send.
   *
   * @param profile profile of the engines
   * @param requestCostMs mean engine time that a request needs, in milliseconds
   */
  private double effectiveEngines(EngineProfile profile, double requestCostMs) {
    long now = state.clock().nanoTime();
    int promptTokens = (int) profile.meanPromptTokens();
    int unlimited = 0;
    List<RequestRateLimit> limits = new ArrayList<>();
    int load = 0;
    int own = 0;
    for (EndpointState engine : state.endpoints().ofService(service)) {
      if (engine.acceptsRequests()
          && engine.pause().waitNanos(now) == 0
          && Placement.isServing(engine, minimumVersion(engine, profile, promptTokens, now))) {
        if (engine.requestLimit().isLimited()) {
          limits.add(engine.requestLimit());
        } else {
          unlimited++;
        }
        load += engine.load();
        own += engine.outstanding();
      }
    }
    double share = load == 0 ? 1 : Math.max(MIN_ENGINE_SHARE, (double) own / load);
    double effective = unlimited * share;
    for (RequestRateLimit limit : limits) {
      effective += Math.min(share, limit.requestsPerSecond() * requestCostMs / MS_PER_SECOND);
    }
    return effective;
  }

  /**
   * Sends waiting requests while engines have free slots. Refuses those that are too late, and all
   * that have not run if no engine is listed, except leaving ones.
   */
  void dispatchWaiting(EngineProfile profile) {
    long now = state.clock().nanoTime();
    for (WaitingRequest<ProxiedRequest> expired : queue.removeUnanswerable(now)) {
      expired.item().refuse(FailureReason.NOT_SENT_IN_TIME, state.admission().retryAfterSeconds(0));
    }
    if (state.stopAdmission().isStopping()) {
      endOutlasting();
    }
    if (state.endpoints().ofService(service).stream().noneMatch(EndpointState::acceptsRequests)) {
      refuseNotRun();
    }
    List<WaitingRequest<ProxiedRequest>> passedOver = new ArrayList<>();
    try {
      sendWaiting(profile, now, passedOver);
    } finally {
      passedOver.forEach(queue::add);
    }
  }

  private void sendWaiting(
      EngineProfile profile, long now, List<WaitingRequest<ProxiedRequest>> passedOver) {
    boolean mayHaveRoom = true;
    while (mayHaveRoom && queue.size() > 0) {
      long firstEventMs =
          (long) (FIRST_EVENT_PASSES * EngineLatencyModel.passMs(profile, profile.slots()));
      Optional<WaitingRequest<ProxiedRequest>> next =
          queue.poll(now, TimeUnit.MILLISECONDS.toNanos(firstEventMs), isOverloaded(profile));
      ProxiedRequest request = next.get().item();
      Optional<EndpointState> engine;
      try {
        engine = findEngine(request, profile);
      } catch (RuntimeException | Error e) {
        request.failUnexpectedly(e);
        continue;
      }
      if (engine.isPresent()) {
        request.send(engine.get());
      } else if (!refusedForPause(request)) {
        // A started stream may not return to engines that others can use.
        passedOver.add(next.get());
        mayHaveRoom = request.isStarted();
      }
    }
  }

  /** Ends the requests that would not end before this process. */
  private void endOutlasting() {
    for (WaitingRequest<ProxiedRequest> waiting : queue.removeAll()) {
      ProxiedRequest request = waiting.item();
      if (state.stopAdmission().admits(request)) {
        queue.add(waiting);
      } else {
        request.guarded(request::endForStop).run();
      }
    }
  }

  /** Refuses the requests that have not run; the others wait for an engine that may be listed. */
  private void refuseNotRun() {
    for (WaitingRequest<ProxiedRequest> waiting : queue.removeAll()) {
      ProxiedRequest request = waiting.item();
      if (request.hasNotRun()) {
        request.guarded(() -> refuseWithoutEndpoint(request)).run();
      } else {
        queue.add(waiting);
      }
    }
  }

  private void refuseWithoutEndpoint(ProxiedRequest request) {
    request.trace().recordMarks(state.marks(service));
    request.refuse(FailureReason.NO_ENDPOINT, state.admission().retryAfterSeconds(0));
  }

  /**
   * Ends the requests whose keys are no longer accepted. The others wait on, with the priorities
   * and costs that are in force now.
   *
   * @param profile profile of the engines; empty if the service is gone or has no engines any more
   * @return the requests that do not wait here any more, and are to be placed
   */
  List<ProxiedRequest> review(Optional<EngineProfile> profile) {
    List<ProxiedRequest> unqueued = new ArrayList<>();
    for (WaitingRequest<ProxiedRequest> waiting : queue.removeAll()) {
      ProxiedRequest request = waiting.item();
      request.guarded(() -> review(request, profile, unqueued)).run();
    }
    return unqueued;
  }

  private void review(
      ProxiedRequest request, Optional<EngineProfile> profile, List<ProxiedRequest> unqueued) {
    if (request.endIfKeyIsRejected()) {
      return;
    }
    if (profile.isPresent()) {
      queue.add(request.toWaitingRequest(costMs(request, profile.get())));
    } else {
      unqueued.add(request);
    }
  }

  private boolean isOverloaded(EngineProfile profile) {
    double costMs = queue.costMs();
    return costMs
        > OVERLOAD_WAIT_MS * effectiveEngines(profile, costMs / Math.max(1, queue.size()));
  }

  void remove(ProxiedRequest request) {
    queue.remove(request);
  }
}
