package org.clementineford.entry.internal.requests;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Map;
import org.clementineford.configuration.ClientAccount;

/** Client accounts, indexed by the SHA-256 of their bearer token. */
final class Accounts {
  private static final String SCHEME = "Bearer ";

  private volatile Snapshot snapshot = new Snapshot(Map.of(), 1);

  void update(Map<String, ClientAccount> accounts) {
    Map<String, ClientAccount> byToken = new HashMap<>();
    long total = 0;
    for (ClientAccount account : accounts.values()) {
      byToken.put(account.tokenSha256().toLowerCase(Locale.ROOT), account);
      total += account.weight();
    }
    snapshot = new Snapshot(byToken, Math.max(1, total));
  }

  /** Returns the account for the value of an Authorization header, or null if there is none. */
  ClientAccount find(String authorization) {
    if (authorization == null || !authorization.startsWith(SCHEME)) {
      return null;
    }
    byte[] token = authorization.substring(SCHEME.length()).getBytes(StandardCharsets.UTF_8);
    return snapshot.byToken().get(sha256Hex(token));
  }

  long totalWeight() {
    return snapshot.totalWeight();
  }

  static String sha256Hex(byte[]... parts) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      for (byte[] part : parts) {
        digest.update(part);
      }
      return HexFormat.of().formatHex(digest.digest());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available; use a complete Java runtime", e);
    }
  }

  private record Snapshot(Map<String, ClientAccount> byToken, long totalWeight) {}
}
