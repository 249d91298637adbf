package org.clementineford.standins;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

class ServiceStandInTest extends StandInTest {
  private static final Map<String, String> KEYED =
      Map.of("Idempotency-Key", "k-1", "X-Request-Id", "q-1");

  // Guards against ground truth that omits a run whose reply was lost.
  @Test
  void runsWithLostRepliesAreCounted() throws Exception {
    ServiceStandIn service = started(new ServiceStandIn(context()));
    service.faults().setNext(StandInFaultKind.LOST_REPLY, 1);
    Assertions.assertThatThrownBy(
        () -> call(service, "POST", "/reservations", KEYED, "{\"lot\":\"a\",\"quantity\":3}"));
    assertThat(
            text(call(service, "POST", "/reservations", KEYED, "{\"lot\":\"a\",\"quantity\":3}")))
        .contains("\"lot\":\"a\"")
        .contains("r-2");
    assertThat(service.runs())
        .isEqualTo(new ServiceStandIn.Runs(2, Map.of("k-1", 2), Map.of("q-1", 2)));
    assertThat(text(call(service, "GET", "/stock", Map.of(), ""))).contains("999994");
  }
}
