package org.clementineford.configuration.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Queue of members whose statements must be attached to messages; least often sent first. */
final class UpdateQueue {
  // SWIM sends each update a small multiple of log2(n) times. In its evaluation, a factor of 3
  // reaches all members with high probability.
  private static final int TRANSMISSION_FACTOR = 3;

  private final Map<String, Integer> transmissions = new HashMap<>();

  void add(String vm) {
    transmissions.put(vm, 0);
  }

  void remove(String vm) {
    transmissions.remove(vm);
  }

  List<MemberStatement> take(int limit, Map<String, MemberStatement> statements) {
    int maxTransmissions =
        TRANSMISSION_FACTOR * (Integer.SIZE - Integer.numberOfLeadingZeros(statements.size()));
    List<String> chosen =
        transmissions.entrySet().stream()
            .sorted(
                Map.Entry.<String, Integer>comparingByValue()
                    .thenComparing(Map.Entry.comparingByKey(Comparator.naturalOrder())))
            .limit(limit)
            .map(Map.Entry::getKey)
            .toList();
    List<MemberStatement> taken = new ArrayList<>();
    for (String vm : chosen) {
      taken.add(statements.get(vm));
      if (transmissions.merge(vm, 1, Integer::sum) >= maxTransmissions) {
        transmissions.remove(vm);
      }
    }
    return taken;
  }
}
