package org.clementineford.standins.internal;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import org.clementineford.transport.http.HttpExchange;

/**
 * A chat request that the engine accepted.
 *
 * @param exchange HTTP exchange of the request
 * @param requestId request ID that the caller sent
 * @param echoedId request ID that the answer returns
 * @param model name of the model
 * @param prompt texts of the messages
 * @param tokens length of the answer in tokens
 * @param stream true to answer with server-sent events
 * @param urgent true to leave the queue before normal requests
 * @param broken true to close the connection before the answer is complete
 */
public record EngineRequest(
    HttpExchange exchange,
    String requestId,
    String echoedId,
    String model,
    String prompt,
    int tokens,
    boolean stream,
    boolean urgent,
    boolean broken) {

  String jsonId() {
    return new String(JsonStringEncoder.getInstance().quoteAsString(echoedId));
  }

  String jsonModel() {
    return new String(JsonStringEncoder.getInstance().quoteAsString(model));
  }

  int promptTokens() {
    return prompt.length() / 4 + 1;
  }
}
