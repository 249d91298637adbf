package org.clementineford.serving.quarantine;

import java.util.Collection;
import java.util.Map;

/**
 * Targets of requests that were suspects lately; only requests to them need a digest of the body.
 */
final class RequestTargets {
  private static final int MAX_TARGETS = 1_024;

  private final Map<String, Boolean> targets = new BoundedMap<>(MAX_TARGETS);

  void remember(Collection<Suspect> suspects) {
    for (Suspect suspect : suspects) {
      if (suspect.kind() == Suspect.Kind.REQUEST) {
        targets.put(suspect.target(), true);
      }
    }
  }

  boolean isEmpty() {
    return targets.isEmpty();
  }

  boolean contains(String target) {
    return targets.containsKey(target);
  }
}
