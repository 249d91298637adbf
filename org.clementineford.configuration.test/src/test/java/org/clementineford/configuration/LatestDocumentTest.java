package org.clementineford.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class LatestDocumentTest {
  private static Document document(long revision) {
    DocumentSection section = new DocumentSection("s", "t", revision, "c" + revision, "");
    return new Document(revision, Map.of("s", section), null);
  }

  /** Guards against a stale read or a late delta that reverts the configuration. */
  @Property(tries = 200, seed = "20261204")
  void revisionNeverDecreases(@ForAll long seed) {
    Random random = new Random(seed);
    LatestDocument latest = new LatestDocument();
    long highest = 0;
    for (int i = 0; i < 100; i++) {
      long revision = 1 + random.nextInt(50);
      if (random.nextBoolean()) {
        latest.offer(document(revision));
      } else {
        latest.offer(random.nextInt(50), revision, List.of());
      }
      assertThat(latest.current().revision()).isGreaterThanOrEqualTo(highest);
      highest = latest.current().revision();
    }
  }

  /** Guards against accepting a delta that starts above the current revision and omits sections. */
  @Test
  void refusesDeltasWithGap() {
    LatestDocument latest = new LatestDocument();
    latest.offer(document(3));
    assertThat(latest.offer(5, 9, List.of())).isEqualTo(LatestDocument.Outcome.GAP);
    assertThat(latest.offer(2, 9, List.of())).isEqualTo(LatestDocument.Outcome.RAISED);
    assertThat(latest.offer(document(3))).isEqualTo(LatestDocument.Outcome.STALE);
  }

  /** Guards against keeping a removed section in force in processes that receive deltas. */
  @Test
  void appliesRemovalsFromDeltas() {
    LatestDocument latest = new LatestDocument();
    latest.offer(document(1));
    latest.offer(1, 2, List.of(new DocumentSection("s", "t", 2, "c2", null)));
    assertThat(latest.current().presentSections()).isEmpty();
    assertThat(latest.current().changedSince(1)).hasSize(1);
  }
}
