package org.clementineford.gateway.internal;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.clementineford.kernel.Fingerprint;

/**
 * What identifies a request that a caller sends again, also at another VM and with another request
 * ID: its target (method, host, path and query), its caller and its body.
 */
final class RequestIdentity {
  private static final int BODY_DIGEST_BYTES = 16;

  private RequestIdentity() {}

  /**
   * Returns the part of the identity that needs no digest of the body. Requests of one identity
   * have the same.
   */
  static String prefix(ProxiedRequest request, String caller) {
    String target =
        String.join(
            "\n",
            request.exchange().head().method().name(),
            request.metadata().host(),
            request.exchange().head().uri(),
            caller);
    return Long.toHexString(Fingerprint.of(target));
  }

  /** Returns the identity. */
  static String of(ProxiedRequest request, String caller) {
    try {
      byte[] digest = MessageDigest.getInstance("SHA-256").digest(request.exchange().body());
      return prefix(request, caller) + "-" + HexFormat.of().formatHex(digest, 0, BODY_DIGEST_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "the Java runtime does not provide SHA-256; use a complete Java runtime", e);
    }
  }
}
