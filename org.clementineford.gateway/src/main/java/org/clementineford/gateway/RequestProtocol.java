package org.clementineford.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.clementineford.serving.model.CallerRequest;

/** Reads and writes the HTTP headers that callers, endpoints and this system exchange. */
public interface RequestProtocol {
  /**
   * Decodes the head of a caller's request.
   *
   * @param request head of the request
   * @return the decoded request
   */
  CallerRequest decodeRequest(HttpRequest request);

  /**
   * Rewrites the headers of a caller's request for an endpoint.
   *
   * @param headers headers of the caller, without hop-by-hop headers; changed in place
   * @param send values that this system sets
   */
  void prepare(HttpHeaders headers, EndpointSend send);

  /**
   * Decodes the head of an endpoint's response.
   *
   * @param response head of the response
   * @return the decoded head
   */
  AnswerHead decodeAnswer(HttpResponse response);
}
