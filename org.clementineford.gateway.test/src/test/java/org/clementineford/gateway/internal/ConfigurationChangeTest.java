package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

class ConfigurationChangeTest {
  private static Stream<Arguments> cells(RequestState... states) {
    return List.of(states).stream()
        .flatMap(
            state ->
                Stream.of(ConfigurationChange.values()).map(change -> Arguments.of(state, change)));
  }

  private static void assertAnswered(ChangingGateway gateway, int status) throws Exception {
    RawAnswer answer = gateway.readAnswer();
    assertThat(answer.status()).isEqualTo(status);
    if (status == 200) {
      gateway.assertWhole(answer);
    }
    if (status == 503) {
      assertThat(answer.headers()).containsKey("retry-after");
    }
    gateway.assertNoFurtherAnswer();
    assertThat(gateway.arrivals()).isEqualTo(status == 200 ? 1 : 0);
  }

  @Nested
  class SentRequest {
    static Stream<Arguments> cells() {
      return ConfigurationChangeTest.cells(
          RequestState.SENT,
          RequestState.HEAD_RECEIVED,
          RequestState.STREAMING,
          RequestState.ANSWER_BEING_WRITTEN);
    }

    // Guards against a change that ends a request on which an endpoint is at work.
    @ParameterizedTest
    @MethodSource("cells")
    void getsItsWholeAnswer(RequestState state, ConfigurationChange change) throws Exception {
      try (ChangingGateway gateway = new ChangingGateway(state)) {
        gateway.apply(change);
        gateway.release();
        assertAnswered(gateway, 200);
      }
    }
  }

  @Nested
  class RequestThatIsReadLater {
    static Stream<Arguments> cells() {
      return ConfigurationChangeTest.cells(
          RequestState.HEAD_BEING_READ, RequestState.BODY_BEING_READ, RequestState.CONNECTION_IDLE);
    }

    // Guards against a change that loses a request whose connection it finds open.
    @ParameterizedTest
    @MethodSource("cells")
    void isHandledByTheConfigurationInForce(RequestState state, ConfigurationChange change)
        throws Exception {
      try (ChangingGateway gateway = new ChangingGateway(state)) {
        gateway.apply(change);
        state.goOn(gateway);
        assertAnswered(gateway, change.laterStatus());
      }
    }
  }

  @Nested
  class WaitingRequest {
    static Stream<ConfigurationChange> changes() {
      return Stream.of(ConfigurationChange.values()).filter(change -> !change.endsWaiting());
    }

    // Guards against a change that loses a request that waits for an engine.
    @ParameterizedTest
    @MethodSource("changes")
    void isServedWhenSlotIsFree(ConfigurationChange change) throws Exception {
      try (ChangingGateway gateway = new ChangingGateway(RequestState.WAITING)) {
        gateway.apply(change);
        gateway.release();
        assertAnswered(gateway, change.waitingStatus());
      }
    }

    // Guards against a request that waits on though the configuration excludes that it is served.
    @ParameterizedTest
    @EnumSource(
        names = {
          "SERVICE_DROPPED",
          "SERVICE_AND_ROUTE_DROPPED",
          "SERVICE_DROPPED_AND_ROUTE_MOVED",
          "SERVICE_LOSES_ENGINE",
          "KEY_REMOVED"
        })
    void isServedElsewhereOrRefusedAtOnce(ConfigurationChange change) throws Exception {
      try (ChangingGateway gateway = new ChangingGateway(RequestState.WAITING)) {
        gateway.apply(change);
        assertAnswered(gateway, change.waitingStatus());
      }
    }

    // Guards against a request that waits though no listed engine will serve it.
    @ParameterizedTest
    @EnumSource(names = {"ENDPOINT_REMOVED", "ENDPOINT_LEAVING"})
    void isRefusedAtOnceWithoutEngines(ConfigurationChange change) throws Exception {
      try (ChangingGateway gateway = new ChangingGateway(RequestState.WAITING)) {
        gateway.apply(change);
        assertAnswered(gateway, change.waitingStatus());
      }
    }

    // Guards against a refusal though an engine that loads weights is back soon.
    @Test
    void waitsForEngineThatLoadsWeights() throws Exception {
      try (ChangingGateway gateway = new ChangingGateway(RequestState.WAITING)) {
        gateway.restartEngine(2, 0);
        gateway.assertStillWaiting();
        gateway.restartEngine(2, 1);
        assertAnswered(gateway, 200);
      }
    }
  }
}
