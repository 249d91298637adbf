package org.clementineford.gateway.internal;

import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.clementineford.serving.routing.EndpointState;
import org.slf4j.spi.LoggingEventBuilder;

/** What a request experienced, for its last log line. Durations that did not occur are -1. */
final class RequestTrace {
  private final NanoClock clock;
  private final long arrivedAt;
  private EndpointState lastEndpoint;
  private long firstAnswerMs = -1;
  private long sentAfterMs = -1;
  private int loadAtSend = -1;
  private long reportNumberAtSend = -1;
  private long weightsAtSend = -1;
  private long predictedWaitMs = -1;
  private double retryAfterSeconds;
  private String quarantinedSuspect = "";
  private String marks = "";

  RequestTrace(NanoClock clock, long arrivedAt) {
    this.clock = clock;
    this.arrivedAt = arrivedAt;
  }

  /** Returns the time since the arrival of the request, in milliseconds. */
  long ageMs() {
    return TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - arrivedAt);
  }

  void recordSend(EndpointState endpoint) {
    lastEndpoint = endpoint;
    sentAfterMs = ageMs();
    loadAtSend = endpoint.load();
    reportNumberAtSend = endpoint.report().number();
    weightsAtSend = endpoint.weightVersion();
  }

  /** Records the first event or complete response, and returns the age of the request. */
  long recordFirstAnswer() {
    firstAnswerMs = ageMs();
    return firstAnswerMs;
  }

  /** Records the wait predicted when no engine had a free slot for the request. */
  void recordPredictedWait(double waitMs) {
    predictedWaitMs = (long) Math.min(waitMs, Integer.MAX_VALUE);
  }

  void recordRetryAfter(double seconds) {
    retryAfterSeconds = seconds;
  }

  /** Records why endpoints got no requests when no endpoint was found for this one. */
  void recordMarks(String endpointMarks) {
    marks = endpointMarks;
  }

  void recordQuarantinedSuspect(String suspect) {
    quarantinedSuspect = suspect;
  }

  /** Adds the recorded values to a log line. */
  LoggingEventBuilder addTo(LoggingEventBuilder line) {
    long totalMs = ageMs();
    return line.addKeyValue("endpoint", lastEndpoint == null ? "" : lastEndpoint.endpoint().id())
        .addKeyValue("firstMs", firstAnswerMs)
        .addKeyValue("totalMs", totalMs)
        .addKeyValue("sentAfterMs", sentAfterMs)
        .addKeyValue("sinceSendMs", sentAfterMs < 0 ? -1 : totalMs - sentAfterMs)
        .addKeyValue("load", loadAtSend)
        .addKeyValue("report", reportNumberAtSend)
        .addKeyValue("predictedWaitMs", predictedWaitMs)
        .addKeyValue("retryAfterSeconds", Math.round(retryAfterSeconds * 100) / 100.0)
        .addKeyValue("quarantinedSuspect", quarantinedSuspect)
        .addKeyValue("marks", marks)
        .addKeyValue("weightsAtSend", weightsAtSend)
        .addKeyValue("weights", lastEndpoint == null ? -1 : lastEndpoint.weightVersion());
  }
}
