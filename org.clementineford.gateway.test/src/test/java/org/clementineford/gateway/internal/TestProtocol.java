package org.clementineford.gateway.internal;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.clementineford.gateway.EndpointRequestContext;
import org.clementineford.gateway.EndpointResponseHead;
import org.clementineford.gateway.RequestProtocol;
import org.clementineford.serving.model.RequestMetadata;

/** Maps requests and responses to short header names that only these tests use. */
final class TestProtocol implements RequestProtocol {
  private final Map<String, Runnable> actions = new ConcurrentHashMap<>();

  private final Map<String, Runnable> actionsAfterFirstSend = new ConcurrentHashMap<>();
  private final Set<String> sent = ConcurrentHashMap.newKeySet();

  /** Runs an action once, when the head of the request with this ID is decoded. */
  void whileDecoding(String requestId, Runnable action) {
    actions.put(requestId, action);
  }

  /** Runs an action before each send of the request with this ID to an endpoint but the first. */
  void whileEncodingAgain(String requestId, Runnable action) {
    actionsAfterFirstSend.put(requestId, action);
  }

  /** Runs an action before each send of the request with this ID to an endpoint. */
  void whileEncoding(String requestId, Runnable action) {
    sent.add(requestId);
    actionsAfterFirstSend.put(requestId, action);
  }

  @Override
  public RequestMetadata decodeRequest(HttpRequest request) {
    Runnable action = actions.remove(request.headers().get("id", ""));
    if (action != null) {
      action.run();
    }
    String timeout = request.headers().get("timeout");
    String parts = request.headers().get("parts");
    return new RequestMetadata(
        request.headers().get("id", ""),
        request.headers().get(HttpHeaderNames.HOST, ""),
        request.uri(),
        timeout == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(timeout)),
        Optional.ofNullable(request.headers().get("key")),
        100,
        request.headers().getInt("tokens", 100),
        OptionalInt.empty(),
        Optional.ofNullable(request.headers().get("resume")),
        parts == null ? List.of() : List.of(parts.split(",")));
  }

  @Override
  public void rewriteHeaders(HttpHeaders headers, EndpointRequestContext context) {
    String id = headers.get("id", "");
    if (!sent.add(id) && actionsAfterFirstSend.containsKey(id)) {
      actionsAfterFirstSend.get(id).run();
    }
    headers.remove("key");
    headers.set("remaining", context.remainingMs());
    headers.set("endpoint", context.endpointId());
    context.account().ifPresent(account -> headers.set("account", account));
    context.resumeAfter().ifPresent(event -> headers.set("resume", event));
  }

  @Override
  public EndpointResponseHead decodeResponse(HttpResponse response) {
    HttpHeaders headers = response.headers();
    String limit = headers.get("limit");
    return new EndpointResponseHead(
        response.status().code(),
        Optional.ofNullable(headers.get("id")),
        headers.contains("proof"),
        headers.contains("not-run"),
        response.status().code() == 421,
        headers.contains(HttpHeaderNames.CONTENT_ENCODING),
        headers.contains("leaving"),
        Optional.empty(),
        limit == null ? OptionalDouble.empty() : OptionalDouble.of(Double.parseDouble(limit)),
        headers.contains("pause")
            ? OptionalDouble.of(Double.parseDouble(headers.get("pause")))
            : OptionalDouble.empty());
  }
}
