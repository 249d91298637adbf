package org.clementineford.transport.http;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * An HTTP request with its complete body.
 *
 * @param method method, converted to upper case
 * @param target request target: path and query
 * @param headers headers by name; the lookup ignores case
 * @param body the body, empty if there is none; callers must not change the array
 */
public record HttpRequest(String method, String target, Map<String, String> headers, byte[] body) {
  /**
   * Copies the headers into a map whose lookup ignores case, and converts the method to upper case.
   */
  public HttpRequest {
    Map<String, String> copy = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    copy.putAll(headers);
    headers = copy;
    method = method.toUpperCase(Locale.ROOT);
  }

  /**
   * Returns the path without the query.
   *
   * @return the path, percent-encoded as received
   */
  public String path() {
    int queryStart = target.indexOf('?');
    return queryStart < 0 ? target : target.substring(0, queryStart);
  }

  /**
   * Returns a query parameter.
   *
   * @param name name of the parameter
   * @param defaultValue value to return if the parameter is absent
   * @return the first value of the parameter
   */
  public String queryParameter(String name, String defaultValue) {
    var values = new io.netty.handler.codec.http.QueryStringDecoder(target).parameters().get(name);
    return values == null ? defaultValue : values.get(0);
  }

  /**
   * Returns a header.
   *
   * @param name name of the header; case is ignored
   * @return the value, or null if absent
   */
  public String header(String name) {
    return headers.get(name);
  }
}
