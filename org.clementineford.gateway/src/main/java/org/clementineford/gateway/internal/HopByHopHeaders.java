package org.clementineford.gateway.internal;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/**
 * Hop-by-hop headers, which apply to one connection only and are not forwarded.
 *
 * <p>See RFC 9110, section 7.6.1.
 */
final class HopByHopHeaders {
  private static final List<CharSequence> NAMES =
      List.of(
          HttpHeaderNames.CONNECTION,
          "keep-alive",
          "proxy-connection",
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.EXPECT,
          HttpHeaderNames.CONTENT_LENGTH);

  private HopByHopHeaders() {}

  /** Returns a copy without hop-by-hop headers, those named by Connection, and Content-Length. */
  static HttpHeaders copyWithout(HttpHeaders headers) {
    HttpHeaders copy = new DefaultHttpHeaders().add(headers);
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : value.split(",")) {
        if (!name.isBlank()) {
          copy.remove(name.strip());
        }
      }
    }
    NAMES.forEach(copy::remove);
    return copy;
  }
}
