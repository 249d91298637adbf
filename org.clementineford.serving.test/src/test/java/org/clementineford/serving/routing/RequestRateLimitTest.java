package org.clementineford.serving.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RequestRateLimitTest {
  private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  /** A time of day at the start of the test. */
  private static final long EPOCH_MS = 1_779_209_306_798L;

  private final RequestRateLimit limit = new RequestRateLimit();

  private void update(double requestsPerSecond, int entryVms, long now) {
    limit.update(
        OptionalDouble.of(requestsPerSecond), new EntryVmPosition(entryVms, 0.5), now / MS, now);
  }

  /** Counts the requests that are sent if one waits at all times. */
  private int sentWithin(long from, long until) {
    int sent = 0;
    for (long now = from; now < until; now += MS) {
      if (limit.allows(now)) {
        limit.sent(now);
        sent++;
      }
    }
    return sent;
  }

  @Nested
  class Share {
    // Guards against a limit that outlives the responses that name it.
    @Test
    void endsWithTheFirstResponseThatNamesNoLimit() {
      update(1, 10, 0);
      assertThat(limit.allows(0)).isFalse();
      assertThat(limit.waitNanos(0)).isPositive();
      limit.update(OptionalDouble.empty(), new EntryVmPosition(10, 0.5), 1_000, SECOND);
      assertThat(limit.isLimited()).isFalse();
      assertThat(limit.allows(SECOND)).isTrue();
      assertThat(limit.waitNanos(SECOND)).isZero();
      assertThat(limit.requestsPerSecond()).isInfinite();
    }

    // Guards against waiting for the interval of a lower limit after the limit has risen.
    @Test
    void followsChangesOfTheLimit() {
      update(0.1, 10, 0);
      update(100, 10, SECOND);
      assertThat(sentWithin(SECOND, 11 * SECOND)).isBetween(85, 95);
    }

    // Guards against requests that follow too soon because each response names another limit.
    @Test
    void isKeptWhenEachResponseNamesAnotherLimit() {
      int sent = 0;
      update(1, 1, 0);
      for (long now = 0; now < 100 * SECOND; now += MS) {
        if (limit.allows(now)) {
          limit.sent(now);
          sent++;
          update(1 + sent % 7 / 100.0, 1, now + MS / 2);
        }
      }
      assertThat(sent).isBetween(70, 107);
    }

    // Guards against an endpoint that accepts no requests and cannot say that it does again.
    @Test
    void ofZeroLeavesSingleRequests() {
      update(0, 1, 0);
      assertThat(sentWithin(0, 100 * SECOND)).isBetween(8, 10);
    }

    // Guards against an overflow with absurd limits.
    @Test
    void ofHugeLimitsAllowsAllRequests() {
      update(Double.MAX_VALUE, 300, 0);
      assertThat(sentWithin(0, SECOND)).isEqualTo(1_000);
    }
  }

  /** Requests of many entry VMs to one endpoint, beside stops and restarts of VMs. */
  @Nested
  class PlayedLoad {
    private final List<RequestRateLimit> vms = new ArrayList<>();
    private final ArrayDeque<Long> lastFourSeconds = new ArrayDeque<>();
    private int most;
    private int total;

    private void arrive(long now) {
      lastFourSeconds.add(now);
      while (lastFourSeconds.peekFirst() <= now - 4 * SECOND) {
        lastFourSeconds.pollFirst();
      }
      most = Math.max(most, lastFourSeconds.size());
      total++;
    }

    // Guards against VMs that together send more than the limit allows, or leave most of it unused.
    @ParameterizedTest
    @CsvSource({
      "7, 1",
      "7, 1.8",
      "7, 8",
      "12, 1",
      "30, 1",
      "30, 20",
      "100, 1.3",
      "300, 1",
      "300, 50"
    })
    void staysWithinTheLimitAndUsesMostOfIt(int entryVms, double requestsPerSecond) {
      for (int seed = 0; seed < 20; seed++) {
        final Random random = new Random(seed);
        vms.clear();
        lastFourSeconds.clear();
        most = 0;
        total = 0;
        long seconds = 200;
        for (int i = 0; i < entryVms; i++) {
          vms.add(new RequestRateLimit());
        }
        for (long now = 0; now < seconds * SECOND; now += 10 * MS) {
          // All VMs are idle for two of every ten seconds, and busy together afterwards.
          boolean busy = now / SECOND % 10 >= 2;
          if (random.nextInt(1_000) == 0) {
            vms.set(random.nextInt(entryVms), new RequestRateLimit());
          }
          for (int i = 0; i < entryVms; i++) {
            RequestRateLimit vm = vms.get(i);
            if (busy && vm.allows(now)) {
              // A VM that has just started learns of the limit with the first response.
              if (vm.isLimited()) {
                arrive(now);
              }
              vm.sent(now);
              // A fifth of the VMs does not know some of the others yet.
              int known = i % 5 == 0 ? (int) Math.ceil(entryVms * 0.9) : entryVms;
              vm.update(
                  OptionalDouble.of(requestsPerSecond),
                  new EntryVmPosition(known, (double) Math.min(i, known - 1) / known),
                  EPOCH_MS + now / MS,
                  now);
            }
          }
        }
        assertThat(most)
            .as("seed %d", seed)
            .isLessThanOrEqualTo((int) (1.5 * 4 * requestsPerSecond + 5));
        assertThat(total / (requestsPerSecond * seconds * 0.8))
            .as("seed %d", seed)
            .isGreaterThan(0.6);
      }
    }
  }
}
