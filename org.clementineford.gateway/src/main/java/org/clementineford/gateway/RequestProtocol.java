package org.clementineford.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.clementineford.serving.model.CallerRequest;

/** Reads and writes the headers that callers, endpoints and this system give a meaning to. */
public interface RequestProtocol {
  /**
   * Decodes a caller's request.
   *
   * @param request head of the request
   * @return what it states
   */
  CallerRequest decodeRequest(HttpRequest request);

  /**
   * Turns a caller's headers into those for an endpoint.
   *
   * @param headers headers of the caller without those of the connection; changed in place
   * @param send what this system states
   */
  void prepare(HttpHeaders headers, EndpointSend send);

  /**
   * Decodes an endpoint's response.
   *
   * @param response head of the response
   * @return what it states
   */
  AnswerHead decodeAnswer(HttpResponse response);
}
