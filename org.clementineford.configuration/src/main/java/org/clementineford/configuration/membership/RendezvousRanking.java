package org.clementineford.configuration.membership;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous hashing: all processes derive the same order from the same set of names.
 *
 * <p>Source: D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM
 * Transactions on Networking 6(1), 1998.
 */
final class RendezvousRanking {
  private RendezvousRanking() {}

  static long hash(String text) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
      return ByteBuffer.wrap(digest).getLong();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "SHA-256 is not available; use a Java runtime that provides it", e);
    }
  }

  static List<String> order(String purpose, Collection<String> names) {
    record Ranked(String name, long hash) {}

    return names.stream()
        .map(name -> new Ranked(name, hash(purpose + '/' + name)))
        .sorted(Comparator.comparingLong(Ranked::hash).thenComparing(Ranked::name))
        .map(Ranked::name)
        .toList();
  }
}
