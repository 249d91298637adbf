package org.clementineford.configuration.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.clementineford.kernel.Fingerprint;

/**
 * Rendezvous hashing: all processes derive the same order from the same set of names.
 *
 * <p>Source: D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM
 * Transactions on Networking 6(1), 1998.
 */
final class RendezvousRanking {
  private RendezvousRanking() {}

  static List<String> order(String purpose, Collection<String> names) {
    record Ranked(String name, long hash) {}

    return names.stream()
        .map(name -> new Ranked(name, Fingerprint.of(purpose + '/' + name)))
        .sorted(Comparator.comparingLong(Ranked::hash).thenComparing(Ranked::name))
        .map(Ranked::name)
        .toList();
  }
}
