package org.clementineford.weights;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Set;
import org.clementineford.kernel.errors.ClementinefordException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OrdersTest {
  @Nested
  class Fencing {
    // Guards against a paused lease holder that resumes and orders an older version.
    @Test
    void rejectsLowerLeasesAndLowerRevisions() {
      FencingGuard guard = new FencingGuard();
      assertThat(guard.accept(new OrderNumber(7, 3))).isTrue();
      assertThat(guard.accept(new OrderNumber(7, 2))).isFalse();
      assertThat(guard.accept(new OrderNumber(6, 9))).isFalse();
      assertThat(guard.accept(new OrderNumber(7, 3))).isTrue();
      assertThat(guard.accept(new OrderNumber(8, 1))).isTrue();
    }

    // Guards against an engine that rejects a new order because its combined number is too low.
    @Test
    void combinesNumbersInTheSameOrder() {
      assertThat(new OrderNumber(8, 1).combined()).isGreaterThan(new OrderNumber(7, 9).combined());
      assertThat(new OrderNumber(7, 3).combined()).isGreaterThan(new OrderNumber(7, 2).combined());
    }
  }

  @Nested
  class Pacing {
    // Guards against all VMs of a data centre loading at the same time.
    @Test
    void letsAtMostTheShareLoad() {
      List<String> complete = List.of("a", "b", "c", "d");
      assertThat(ActivationPacing.slots(0.25, 8)).isEqualTo(2);
      assertThat(ActivationPacing.next(complete, Set.of("a"), 2, "key")).hasSize(1);
      assertThat(ActivationPacing.next(complete, Set.of("a", "b"), 2, "key")).isEmpty();
    }

    // Guards against a data centre that never activates because its share rounds down to 0 VMs.
    @Test
    void letsAtLeastOneLoad() {
      assertThat(ActivationPacing.slots(0.25, 2)).isEqualTo(1);
    }
  }

  // Guards against accepting a manifest with a truncated list of chunks.
  @Test
  void manifestWithMissingChunksIsRefused() {
    Manifest complete = Manifest.describe("assistant", "v1", new byte[10], 4);
    Manifest cut =
        new Manifest(
            "assistant", "v1", complete.digest(), 10, 4, complete.chunkDigests().subList(0, 2));
    assertThatThrownBy(() -> Manifest.parse(cut.toJson()))
        .isInstanceOf(ClementinefordException.class)
        .hasMessageContaining("incomplete");
  }
}
