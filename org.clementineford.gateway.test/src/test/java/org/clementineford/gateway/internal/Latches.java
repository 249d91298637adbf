package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Waits of scripts and tests for each other. */
final class Latches {
  private Latches() {}

  /** Waits until the latch is open; fails after 10 s. */
  static void await(CountDownLatch latch) {
    try {
      assertThat(latch.await(10, TimeUnit.SECONDS)).isTrue();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
