package org.clementineford.requests.attempts;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private final RetryBudget budget = new RetryBudget(0);

  private int withdrawals(long nowNanos) {
    int granted = 0;
    while (budget.withdraw(nowNanos)) {
      granted++;
    }
    return granted;
  }

  // Guards against more retries than the allowed share of the first attempts.
  @Test
  void grantsRetriesUpToTheShareOfFirstAttempts() {
    withdrawals(0);
    for (int i = 0; i < 1000; i++) {
      budget.deposit(0.1, 0);
    }
    assertThat(withdrawals(0)).isBetween(99, 100);
  }

  // Guards against a burst of retries from budget that accumulated long before.
  @Test
  void oldDepositsExpire() {
    for (int i = 0; i < 1000; i++) {
      budget.deposit(0.1, 0);
    }
    assertThat(withdrawals(600 * SECOND)).isLessThanOrEqualTo(10);
  }
}
