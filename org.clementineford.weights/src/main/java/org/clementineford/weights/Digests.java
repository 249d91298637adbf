package org.clementineford.weights;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 digests in lower-case hexadecimal. */
public final class Digests {
  private Digests() {}

  /**
   * Creates a SHA-256 message digest.
   *
   * @return the message digest, without input
   */
  public static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java runtime provides SHA-256", e);
    }
  }

  /**
   * Returns the SHA-256 digest of some bytes.
   *
   * @param bytes the bytes
   * @return 64 hexadecimal digits
   */
  public static String sha256Hex(byte[] bytes) {
    return hex(sha256().digest(bytes));
  }

  /**
   * Formats a digest.
   *
   * @param digest the digest
   * @return two hexadecimal digits for each byte
   */
  public static String hex(byte[] digest) {
    return HexFormat.of().formatHex(digest);
  }
}
