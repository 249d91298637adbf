package org.clementineford.serving.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SlotShareTest {
  private static final int SLOTS = 16;
  private static final int ENTRY_VMS = 10;

  // Guards against all entry VMs sending a request for the same free slot.
  @Test
  void dividesTheLastSlotsAmongEntryVms() {
    int sent = 0;
    for (int i = 0; i < ENTRY_VMS; i++) {
      double random = i / (double) ENTRY_VMS;
      sent += SlotShare.requestsUntilNextReport(1, SLOTS, ENTRY_VMS, () -> random);
    }
    assertThat(sent).isBetween(1, 3);
    assertThat(SlotShare.requestsUntilNextReport(0, SLOTS, ENTRY_VMS, () -> 0.99)).isZero();
  }

  // Guards against requests that wait although the engine is nearly idle.
  @Test
  void doesNotLimitAnEngineWithManyFreeSlots() {
    assertThat(SlotShare.requestsUntilNextReport(10, SLOTS, ENTRY_VMS, () -> 0))
        .isEqualTo(Integer.MAX_VALUE);
  }

  // Guards against an entry VM that may not reuse the slot of its own ended request.
  @Test
  void allowsAnotherRequestWhenAnOwnRequestEnds() {
    EndpointState engine = RoutingFixture.state("a", "x");
    engine.sent(1);
    engine.reported(RoutingFixture.report(1, 1, false, 4), 0);
    assertThat(engine.hasAllowance()).isFalse();
    engine.ended();
    assertThat(engine.hasAllowance()).isTrue();
  }
}
