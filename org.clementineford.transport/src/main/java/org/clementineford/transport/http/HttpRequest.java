package org.clementineford.transport.http;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * An HTTP request.
 *
 * @param method method in upper case
 * @param target path with query
 * @param headers headers by name; look-up ignores case
 * @param body the body, empty if there is none; callers must not change the array
 */
public record HttpRequest(String method, String target, Map<String, String> headers, byte[] body) {
  /** Copies the headers into a map whose look-up ignores case. */
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
    int question = target.indexOf('?');
    return question < 0 ? target : target.substring(0, question);
  }

  /**
   * Returns a parameter of the query.
   *
   * @param name name of the parameter
   * @param fallback value to use if it is absent
   * @return the first value
   */
  public String query(String name, String fallback) {
    var values = new io.netty.handler.codec.http.QueryStringDecoder(target).parameters().get(name);
    return values == null ? fallback : values.get(0);
  }

  /**
   * Returns a header.
   *
   * @param name name of the header, in any case
   * @return the value, or null if absent
   */
  public String header(String name) {
    return headers.get(name);
  }
}
