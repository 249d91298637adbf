package org.clementineford.gateway.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.agrona.concurrent.NanoClock;
import org.clementineford.serving.draining.AnswerTimes;
import org.clementineford.serving.draining.Drain;
import org.clementineford.serving.model.EngineProfile;
import org.clementineford.serving.routing.EngineLatencyModel;

/**
 * Asks of each request, before it is sent to an endpoint, whether it ends before this process does.
 * Not thread-safe.
 */
final class StopAdmission {
  /** Time for which an answer counts as recent at least. */
  private static final long RECENT_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final NanoClock clock;
  private final Function<String, Optional<EngineProfile>> engineProfiles;
  private final Map<String, AnswerTimes> answerTimes = new HashMap<>();
  private Optional<Drain> drain = Optional.empty();

  /**
   * Creates the admission of a process that does not stop.
   *
   * @param clock monotonic clock
   * @param engineProfiles returns the profile of the engines of a service; empty for a plain one
   */
  StopAdmission(NanoClock clock, Function<String, Optional<EngineProfile>> engineProfiles) {
    this.clock = clock;
    this.engineProfiles = engineProfiles;
  }

  void begin(Drain planned) {
    drain = Optional.of(planned);
  }

  boolean isStopping() {
    return drain.isPresent();
  }

  /** Records that the complete answer of an endpoint took the given time since it was sent. */
  void recordAnswer(String service, long nanos) {
    answerTimes(service).record(nanos, clock.nanoTime());
  }

  private AnswerTimes answerTimes(String service) {
    return answerTimes.computeIfAbsent(
        service, name -> new AnswerTimes(RECENT_NANOS, clock.nanoTime()));
  }

  /** Returns whether a request may be sent to an endpoint now, if none works on it. */
  boolean admits(ProxiedRequest request) {
    return request.isStarted()
        ? drain.isEmpty()
            || drain.get().continues(clock.nanoTime(), request.deadlineAt(), expectedNanos(request))
        : admitsMove(request);
  }

  /** Returns whether a request may be taken from an endpoint that is silent and may be sound. */
  boolean admitsMove(ProxiedRequest request) {
    return drain.isEmpty()
        || drain.get().serves(clock.nanoTime(), request.deadlineAt(), expectedNanos(request));
  }

  private OptionalLong expectedNanos(ProxiedRequest request) {
    OptionalLong longest = answerTimes(request.service()).longest(clock.nanoTime());
    Optional<EngineProfile> profile = engineProfiles.apply(request.service());
    if (profile.isEmpty()) {
      return longest;
    }
    double answerMs =
        EngineLatencyModel.answerMs(
            profile.get(), request.promptTokens(), request.mostAnswerTokens(profile.get()));
    return OptionalLong.of(
        Math.max(longest.orElse(0), (long) (answerMs * TimeUnit.MILLISECONDS.toNanos(1))));
  }
}
