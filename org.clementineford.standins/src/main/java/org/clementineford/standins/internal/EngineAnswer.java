package org.clementineford.standins.internal;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.platform.ModelEngine.LoadedVersion;
import org.clementineford.standins.EngineOptions;

/**
 * Generates the answer to one request, with the weights that were loaded when generation started.
 */
public final class EngineAnswer {
  private final EngineRequest request;
  private final LoadedVersion loaded;
  private final EngineOptions options;
  private final Scheduler scheduler;
  private final Supplier<String> tokens;
  private final Runnable onEnded;
  private int sent;
  private volatile boolean stopped;

  /**
   * Creates an answer.
   *
   * @param request the request
   * @param loaded the weights to answer with
   * @param options timing of the engine
   * @param scheduler timers
   * @param tokens returns the next token
   * @param onEnded called once after the answer ended
   */
  public EngineAnswer(
      EngineRequest request,
      LoadedVersion loaded,
      EngineOptions options,
      Scheduler scheduler,
      Supplier<String> tokens,
      Runnable onEnded) {
    this.request = request;
    this.loaded = loaded;
    this.options = options;
    this.scheduler = scheduler;
    this.tokens = tokens;
    this.onEnded = onEnded;
  }

  /** Starts generating the answer. */
  public void start() {
    if (request.stream()) {
      runAfter(options.firstTokenMs(), this::stream);
    } else {
      long total = options.firstTokenMs() + options.betweenTokensMs() * (request.tokens() - 1);
      runAfter(total, this::respondComplete);
    }
  }

  /** Stops generating the answer. */
  public void stop() {
    stopped = true;
  }

  private void runAfter(long delayMs, Runnable step) {
    if (delayMs == 0) {
      step.run();
    } else {
      scheduler.schedule(step, delayMs, TimeUnit.MILLISECONDS);
    }
  }

  private void stream() {
    if (stopped) {
      return;
    }
    if (sent == 0) {
      request.exchange().start(200, headers("text/event-stream"));
    }
    StringBuilder events = new StringBuilder();
    do {
      if (request.broken() && sent >= request.tokens() / 2) {
        request.exchange().abort();
        onEnded.run();
        return;
      }
      appendEvent(events, tokens.get());
      sent++;
    } while (options.betweenTokensMs() == 0 && sent < request.tokens());
    if (sent == request.tokens()) {
      appendEnd(events);
    }
    request.exchange().write(events.toString().getBytes(StandardCharsets.UTF_8));
    if (sent == request.tokens()) {
      request.exchange().finish();
      onEnded.run();
    } else {
      runAfter(options.betweenTokensMs(), this::stream);
    }
  }

  private void appendEvent(StringBuilder events, String token) {
    appendStart(events);
    events
        .append("{\"index\":0,\"delta\":{\"content\":\"")
        .append(token)
        .append("\"},\"finish_reason\":null}]}\n\n");
  }

  private void appendStart(StringBuilder events) {
    events
        .append("data: {\"id\":\"")
        .append(request.jsonId())
        .append("\",\"object\":\"chat.completion.chunk\",\"model\":\"")
        .append(request.jsonModel())
        .append("\",\"choices\":[");
  }

  private void appendEnd(StringBuilder events) {
    appendStart(events);
    events
        .append("{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":")
        .append(usage())
        .append("}\n\ndata: [DONE]\n\n");
  }

  private void respondComplete() {
    if (stopped) {
      return;
    }
    if (request.broken()) {
      request.exchange().abort();
      onEnded.run();
      return;
    }
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < request.tokens(); i++) {
      text.append(tokens.get());
    }
    String body =
        "{\"id\":\""
            + request.jsonId()
            + "\",\"object\":\"chat.completion\",\"model\":\""
            + request.jsonModel()
            + "\",\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\""
            + text
            + "\"},\"finish_reason\":\"stop\"}],\"usage\":"
            + usage()
            + "}";
    request
        .exchange()
        .respond(200, headers("application/json"), body.getBytes(StandardCharsets.UTF_8));
    onEnded.run();
  }

  private String usage() {
    return "{\"prompt_tokens\":"
        + request.promptTokens()
        + ",\"completion_tokens\":"
        + request.tokens()
        + ",\"total_tokens\":"
        + (request.promptTokens() + request.tokens())
        + "}";
  }

  private Map<String, String> headers(String contentType) {
    Map<String, String> headers = new HashMap<>();
    headers.put("Content-Type", contentType);
    headers.put("X-Request-Id", request.echoedId());
    headers.put("X-Model-Version", loaded.version());
    headers.put("X-Weights-Digest", loaded.digest());
    return headers;
  }
}
