package org.clementineford.requests.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests shares and latencies over ten simulated minutes with a seeded random load. */
class FairShareTest {
  private static final int SLOTS = 64;
  private static final long SEED = 1;
  private static final double SHARE = 0.1;
  private static final Percentage TEN_PERCENT = Percentage.withPercentage(10);

  private static void run(SimulatedEngine engine) {
    engine.time.advance(10, TimeUnit.MINUTES);
  }

  private static SimulatedEngine flooded(
      int slots, double partOfShare, boolean equalCosts, boolean urgentFlood) {
    SimulatedEngine engine = new SimulatedEngine(slots, equalCosts, SEED);
    for (int i = 1; i <= 9; i++) {
      engine.addLoad("account-" + i, partOfShare * SHARE, false);
    }
    engine.addLoad("flood", 10 * SHARE, urgentFlood);
    run(engine);
    return engine;
  }

  private static SimulatedEngine alone(
      int slots, double partOfShare, boolean equalCosts, String account) {
    SimulatedEngine engine = new SimulatedEngine(slots, equalCosts, SEED);
    engine.addLoad(account, partOfShare * SHARE, false);
    run(engine);
    return engine;
  }

  // Guards against an account that slows down others with a load of ten times its share.
  @ParameterizedTest
  @CsvSource({"16,0.7,false", "32,0.9,false", "64,0.9,false", "32,0.5,true", "64,0.5,true"})
  void floodDoesNotAffectLatencyAndServedCostOfOthers(
      int slots, double partOfShare, boolean equalCosts) {
    SimulatedEngine flooded = flooded(slots, partOfShare, equalCosts, false);
    for (int i = 1; i <= 9; i++) {
      String account = "account-" + i;
      SimulatedEngine alone = alone(slots, partOfShare, equalCosts, account);
      assertThat(flooded.percentile99(account))
          .isLessThanOrEqualTo(1.25 * alone.percentile99(account));
      assertThat(flooded.served(account)).isCloseTo(alone.served(account), TEN_PERCENT);
    }
  }

  // Guards against borrowed turns that give an account more than its share in the long term.
  @Test
  void urgentFloodDoesNotAffectServedCostOfOthers() {
    SimulatedEngine flooded = flooded(SLOTS, 0.9, false, true);
    for (int i = 1; i <= 9; i++) {
      String account = "account-" + i;
      assertThat(flooded.served(account))
          .isCloseTo(alone(SLOTS, 0.9, false, account).served(account), TEN_PERCENT);
    }
  }

  // Guards against shares that do not follow the weights, before and after they change.
  @Test
  void servedCostFollowsWeightsBeforeAndAfterChange() {
    SimulatedEngine engine = new SimulatedEngine(SLOTS, false, SEED);
    engine.weights.put("small", 1);
    engine.weights.put("large", 3);
    engine.addLoad("small", 1, false);
    engine.addLoad("large", 1, false);
    run(engine);
    long small = engine.served("small");
    final long large = engine.served("large");
    assertThat(large / (double) small).isCloseTo(3, TEN_PERCENT);

    engine.weights.put("small", 3);
    engine.weights.put("large", 1);
    engine.queue.refreshWeights();
    run(engine);
    assertThat((engine.served("small") - small) / (double) (engine.served("large") - large))
        .isCloseTo(3, TEN_PERCENT);
  }
}
