package org.clementineford.weights;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.clementineford.kernel.Fingerprint;

/**
 * Ranking of names for a key by rendezvous hashing: removing a name does not change the order of
 * the others.
 *
 * <p>Source: D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM
 * Transactions on Networking 6(1), 1998.
 */
public final class RendezvousHash {
  private RendezvousHash() {}

  /**
   * Returns a hash of a name that is the same in every process.
   *
   * @param name the name
   * @return first 64 bits of the name's SHA-256 digest
   */
  public static long seed(String name) {
    return Fingerprint.of(name);
  }

  /**
   * Returns the weight of a name for a key; the highest weight ranks first.
   *
   * @param nameSeed {@link #seed} of the name
   * @param keySeed seed of the key
   * @return the weight
   */
  public static long weight(long nameSeed, long keySeed) {
    return new SplittableRandom(nameSeed ^ Long.rotateLeft(keySeed * 0x9E3779B97F4A7C15L, 31))
        .nextLong();
  }

  /**
   * Sorts names by their rank for a key.
   *
   * @param names the names
   * @param key the key
   * @return the names, highest rank first
   */
  public static List<String> order(List<String> names, String key) {
    long keySeed = seed(key);
    List<String> ordered = new ArrayList<>(names);
    ordered.sort(
        Comparator.comparingLong((String name) -> weight(seed(name), keySeed))
            .reversed()
            .thenComparing(Comparator.naturalOrder()));
    return ordered;
  }
}
