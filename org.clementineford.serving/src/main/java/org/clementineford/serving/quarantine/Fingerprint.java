package org.clementineford.serving.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Numbers of fixed size that stand for names in messages, equal on all VMs. */
final class Fingerprint {
  private Fingerprint() {}

  static long of(String name) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(name.getBytes(StandardCharsets.UTF_8));
      return ByteBuffer.wrap(digest).getLong();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
