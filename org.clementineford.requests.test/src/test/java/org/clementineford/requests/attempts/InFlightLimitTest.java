package org.clementineford.requests.attempts;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class InFlightLimitTest {
  private static final long CAPACITY = 1000;
  private static final int TOTAL_WEIGHT = 4;

  private final InFlightLimit limit = new InFlightLimit(CAPACITY);

  private int fill(String account, int weight) {
    int admitted = 0;
    while (limit.reserve(account, 10, weight, TOTAL_WEIGHT) != null) {
      admitted++;
    }
    return admitted;
  }

  // Guards against one account taking the memory that is meant for the others.
  @Test
  void leavesEachAccountItsShare() {
    int greedy = fill("greedy", 1);
    // Its own quarter of one half, and the other half.
    assertThat(greedy * 10L).isBetween(600L, 630L);
    // Its three quarters of one half, and the 5 bytes that the greedy account could not use.
    assertThat(fill("warehouse", 3) * 10L).isBetween(370L, 380L);
  }

  // Guards against memory beyond the limit, and against memory that never comes back.
  @Test
  void admitsAgainAfterRelease() {
    List<InFlightLimit.Reservation> held = new ArrayList<>();
    InFlightLimit.Reservation next = limit.reserve("greedy", 10, 1, TOTAL_WEIGHT);
    while (next != null) {
      held.add(next);
      next = limit.reserve("greedy", 10, 1, TOTAL_WEIGHT);
    }
    int first = held.size();
    held.forEach(limit::release);
    assertThat(fill("greedy", 1)).isEqualTo(first);
  }
}
