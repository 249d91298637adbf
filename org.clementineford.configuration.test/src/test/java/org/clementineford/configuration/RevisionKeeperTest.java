package org.clementineford.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class RevisionKeeperTest {
  private static Document document(long revision) {
    DocumentSection section = new DocumentSection("s", "t", revision, "c" + revision, "");
    return new Document(revision, Map.of("s", section), null);
  }

  /** Guards against a configuration that reverts after a stale read or a late delta. */
  @Property(tries = 200, seed = "20261204")
  void neverGoesDown(@ForAll long seed) {
    Random random = new Random(seed);
    RevisionKeeper keeper = new RevisionKeeper();
    long highest = 0;
    for (int i = 0; i < 100; i++) {
      long revision = 1 + random.nextInt(50);
      if (random.nextBoolean()) {
        keeper.offer(document(revision));
      } else {
        keeper.offer(random.nextInt(50), revision, List.of());
      }
      assertThat(keeper.current().revision()).isGreaterThanOrEqualTo(highest);
      highest = keeper.current().revision();
    }
  }

  /** Guards against a delta that starts above the own revision and would leave out sections. */
  @Test
  void refusesDeltasWithGap() {
    RevisionKeeper keeper = new RevisionKeeper();
    keeper.offer(document(3));
    assertThat(keeper.offer(5, 9, List.of())).isEqualTo(RevisionKeeper.Outcome.GAP);
    assertThat(keeper.offer(2, 9, List.of())).isEqualTo(RevisionKeeper.Outcome.RAISED);
    assertThat(keeper.offer(document(3))).isEqualTo(RevisionKeeper.Outcome.STALE);
  }

  /** Guards against a removed section that stays in force at processes that get deltas. */
  @Test
  void takesRemovalsFromDeltas() {
    RevisionKeeper keeper = new RevisionKeeper();
    keeper.offer(document(1));
    keeper.offer(1, 2, List.of(new DocumentSection("s", "t", 2, "c2", null)));
    assertThat(keeper.current().presentSections()).isEmpty();
    assertThat(keeper.current().changedSince(1)).hasSize(1);
  }
}
