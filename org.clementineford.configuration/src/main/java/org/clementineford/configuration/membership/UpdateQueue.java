package org.clementineford.configuration.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Names whose statements are still to be attached to messages, least often sent first. */
final class UpdateQueue {
  // SWIM sends each update a small multiple of log2(n) times; 3 reaches all members with high
  // probability in its evaluation.
  private static final int MULTIPLE = 3;

  private final Map<String, Integer> sent = new HashMap<>();

  void add(String vm) {
    sent.put(vm, 0);
  }

  void remove(String vm) {
    sent.remove(vm);
  }

  List<MemberStatement> take(int limit, Map<String, MemberStatement> statements) {
    int most = MULTIPLE * (Integer.SIZE - Integer.numberOfLeadingZeros(statements.size()));
    List<String> chosen =
        sent.entrySet().stream()
            .sorted(
                Map.Entry.<String, Integer>comparingByValue()
                    .thenComparing(Map.Entry.comparingByKey(Comparator.naturalOrder())))
            .limit(limit)
            .map(Map.Entry::getKey)
            .toList();
    List<MemberStatement> taken = new ArrayList<>();
    for (String vm : chosen) {
      taken.add(statements.get(vm));
      if (sent.merge(vm, 1, Integer::sum) >= most) {
        sent.remove(vm);
      }
    }
    return taken;
  }
}
