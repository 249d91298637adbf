package org.clementineford.serving.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SharedRetryBudgetTest {
  private static final double RATIO = 0.2;
  private static final double FIXED = 100;
  private static final int ENTRY_VMS = 10;

  private final SharedRetryBudget budget = new SharedRetryBudget(RATIO, FIXED, 10, () -> ENTRY_VMS);

  private int retries(long now) {
    int retries = 0;
    while (budget.tryRetry(now)) {
      retries++;
    }
    return retries;
  }

  // Guards against a retry storm while all endpoints reject requests: all entry VMs together must
  // stay within the ratio of their requests plus the fixed number.
  @Test
  void allowsNoMoreThanItsShare() {
    for (int i = 0; i < 1_000; i++) {
      budget.countRequest(0);
    }
    assertThat(retries(0)).isBetween(100, (int) (RATIO * 1_000 + FIXED / ENTRY_VMS));
  }

  // Guards against one entry VM that uses the complete fixed number of retries.
  @Test
  void dividesTheFixedNumberByTheEntryVms() {
    assertThat(retries(0)).isBetween(1, (int) (FIXED / ENTRY_VMS));
  }

  // Guards against a budget that stays used up after the window has passed.
  @Test
  void isRenewedAfterTheWindow() {
    int first = retries(0);
    assertThat(retries(TimeUnit.SECONDS.toNanos(5))).isZero();
    assertThat(retries(TimeUnit.SECONDS.toNanos(11))).isEqualTo(first);
  }
}
