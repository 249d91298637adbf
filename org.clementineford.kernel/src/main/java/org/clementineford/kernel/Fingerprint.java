package org.clementineford.kernel;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Numbers of fixed size that stand for names and are the same in every process. */
public final class Fingerprint {
  private Fingerprint() {}

  /**
   * Returns the fingerprint of a name.
   *
   * @param name the name
   * @return first 64 bits of the name's SHA-256 digest
   */
  public static long of(String name) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(name.getBytes(StandardCharsets.UTF_8));
      return ByteBuffer.wrap(digest).getLong();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "the Java runtime does not provide SHA-256; use a complete Java runtime", e);
    }
  }
}
