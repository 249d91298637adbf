package org.clementineford.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.clementineford.serving.model.RequestMetadata;

/** Reads and writes the HTTP headers that callers, endpoints and this system exchange. */
public interface RequestProtocol {
  /**
   * Decodes the head of a caller's request.
   *
   * @param request head of the request
   * @return the decoded request
   */
  RequestMetadata decodeRequest(HttpRequest request);

  /**
   * Rewrites the headers of a caller's request for an endpoint.
   *
   * @param headers headers of the caller, without hop-by-hop headers; changed in place
   * @param context values that this system sets
   */
  void rewriteHeaders(HttpHeaders headers, EndpointRequestContext context);

  /**
   * Decodes the head of an endpoint's response.
   *
   * @param response head of the response
   * @return the decoded head
   */
  EndpointResponseHead decodeResponse(HttpResponse response);
}
