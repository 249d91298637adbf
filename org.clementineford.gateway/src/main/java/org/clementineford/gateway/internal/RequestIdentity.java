package org.clementineford.gateway.internal;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.clementineford.kernel.Fingerprint;
import org.clementineford.serving.quarantine.Suspect;

/**
 * What identifies a request that a caller sends again, also at another VM and with another request
 * ID: its target (method, host, path and query), its caller and its body. Digests are computed when
 * they are first needed.
 */
final class RequestIdentity {
  private static final int BODY_DIGEST_BYTES = 16;

  private final CallerExchange exchange;
  private final String host;
  private final String caller;
  private String target;
  private String body;

  RequestIdentity(CallerExchange exchange, String host, String caller) {
    this.exchange = exchange;
    this.host = host;
    this.caller = caller;
  }

  /** Returns the digest of the target and the caller. */
  String target() {
    if (target == null) {
      String text =
          String.join("\n", exchange.head().method().name(), host, exchange.head().uri(), caller);
      target = Long.toHexString(Fingerprint.of(text));
    }
    return target;
  }

  /** Returns the request as what may have crashed an endpoint of a service. */
  Suspect asSuspect(String service) {
    if (body == null) {
      body = digest(exchange.body());
    }
    return Suspect.request(service, target(), body);
  }

  private static String digest(byte[] bytes) {
    try {
      byte[] digest = MessageDigest.getInstance("SHA-256").digest(bytes);
      return HexFormat.of().formatHex(digest, 0, BODY_DIGEST_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "the Java runtime does not provide SHA-256; use a complete Java runtime", e);
    }
  }
}
