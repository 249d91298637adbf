package org.clementineford.serving.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ListedEndpointTableTest {
  private final ListedEndpointTable table = new ListedEndpointTable();

  private EndpointState only() {
    return table.ofService("pool").get(0);
  }

  @Nested
  class RestartedEndpoint {
    // Guards against keeping the load and weights of the previous incarnation under the same ID.
    @Test
    void getsNewState() {
      table.update(List.of(RoutingFixture.endpoint("a", 1, 1, "x")));
      EndpointState before = only();
      before.sent(100);
      List<EndpointState> removed = table.update(List.of(RoutingFixture.endpoint("a", 2, 1, "x")));
      assertThat(removed).containsExactly(before);
      assertThat(before.acceptsRequests()).isFalse();
      assertThat(only().load()).isZero();
    }
  }

  @Nested
  class ListedEndpoint {
    // Guards against losing the count of requests in progress whenever a listing is read.
    @Test
    void keepsItsState() {
      table.update(List.of(RoutingFixture.endpoint("a", 1, 1, "x")));
      only().sent(100);
      table.update(List.of(RoutingFixture.endpoint("a", 1, 1, "x")));
      assertThat(only().load()).isEqualTo(1);
    }

    // Guards against sending to an endpoint that is no longer listed.
    @Test
    void receivesNoRequestsOnceItIsNotListed() {
      table.update(List.of(RoutingFixture.endpoint("a", 1, 1, "x")));
      EndpointState unlisted = only();
      table.update(List.of());
      assertThat(unlisted.acceptsRequests()).isFalse();
      assertThat(table.ofService("pool")).isEmpty();
    }
  }

  @Nested
  class LeavingEndpoint {
    // Guards against requests to an endpoint that is leaving, because a restored platform lists it
    // as it was before.
    @Test
    void staysLeavingInItsIncarnation() {
      table.update(List.of(RoutingFixture.endpoint("a", 1, 1, "x").asLeaving()));
      table.update(List.of(RoutingFixture.endpoint("a", 1, 1, "x")));
      assertThat(only().acceptsRequests()).isFalse();
      table.update(List.of(RoutingFixture.endpoint("a", 2, 1, "x")));
      assertThat(only().acceptsRequests()).isTrue();
    }
  }

  @Nested
  class Load {
    // Guards against counting requests of this entry VM twice, in the report and by its own count.
    @Test
    void isTheLoadOfOthersAtTheReportPlusOwnPresentRequests() {
      EndpointState state = RoutingFixture.state("a", "x");
      state.sent(10);
      state.reported(RoutingFixture.report(1, 1, false, 3));
      assertThat(state.load()).isEqualTo(3);
      state.sent(10);
      assertThat(state.load()).isEqualTo(4);
      state.ended();
      state.ended();
      assertThat(state.load()).isEqualTo(2);
    }

    // Guards against the load in an answer overwriting the weight version that the engine reported.
    @Test
    void fromAnAnswerKeepsTheReportedWeightVersion() {
      EndpointState state = RoutingFixture.state("a", "x");
      state.reported(RoutingFixture.report(1, 5, false, 3));
      state.updateLoad(2, 0);
      assertThat(state.weightVersion()).isEqualTo(5);
      assertThat(state.load()).isEqualTo(2);
    }
  }
}
