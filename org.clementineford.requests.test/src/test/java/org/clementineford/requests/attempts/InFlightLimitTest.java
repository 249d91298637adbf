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

  // Guards against an account that uses the memory reserved for others.
  @Test
  void reservesTheShareOfEachAccount() {
    int greedy = fill("greedy", 1);
    // Its own share, a quarter of one half, and the common half.
    assertThat(greedy * 10L).isBetween(600L, 630L);
    // Its own share, three quarters of one half, and the 5 bytes that the other account cannot use.
    assertThat(fill("warehouse", 3) * 10L).isBetween(370L, 380L);
  }

  // Guards against reservations beyond the limit, and against memory that is not released.
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
