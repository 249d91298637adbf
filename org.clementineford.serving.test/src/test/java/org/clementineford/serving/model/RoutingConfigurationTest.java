package org.clementineford.serving.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RoutingConfigurationTest {
  private final Route wide = route("wide", "/a/", List.of(new ServiceShare("one", 1)), false);
  private final Route narrow =
      route(
          "narrow",
          "/a/b/",
          List.of(new ServiceShare("one", 90), new ServiceShare("two", 10)),
          true);
  private final RoutingConfiguration configuration =
      new RoutingConfiguration(
          7,
          List.of(wide, narrow),
          List.of(),
          Map.of("key", new RoutingClientAccount("lorient", OptionalInt.empty())),
          true,
          CallerLimits.DEFAULT);

  private static Route route(
      String name, String prefix, List<ServiceShare> shares, boolean anonymous) {
    return new Route(
        name, "h.example", prefix, RequestKind.STREAM, 1, 1, 1, shares, 1, anonymous, true, 1);
  }

  @Nested
  class Routes {
    // Guards against a route with a shorter prefix that is chosen because it comes first.
    @Test
    void areChosenByTheLongestPrefix() {
      assertThat(configuration.route("h.example", "/a/b/c")).contains(narrow);
      assertThat(configuration.route("h.example", "/a/c")).contains(wide);
    }

    // Guards against a 404 for a host name with a port or in upper case.
    @Test
    void areFoundForHostWithPortOrInUpperCase() {
      assertThat(configuration.route("H.Example:80", "/a/x")).contains(wide);
      assertThat(configuration.route("other.example", "/a/x")).isEmpty();
    }

    // Guards against choosing services without regard to their weights.
    @Test
    void splitRequestsByWeight() {
      assertThat(narrow.chooseService(0.89)).isEqualTo("one");
      assertThat(narrow.chooseService(0.91)).isEqualTo("two");
    }
  }

  // Guards against anonymous routes that require an API key, and others that do not.
  @Test
  void onlyAnonymousRoutesNeedNoKey() {
    assertThat(configuration.needsKey(wide)).isTrue();
    assertThat(configuration.needsKey(narrow)).isFalse();
    assertThat(configuration.account("key")).isPresent();
    assertThat(configuration.account("other")).isEmpty();
  }

  // Guards against a second run of a request that must run at most once.
  @Test
  void onlyIdempotentRequestsAndResumableStreamsRunAgain() {
    assertThat(RequestKind.IDEMPOTENT.mayRunAgain(false)).isTrue();
    assertThat(RequestKind.NON_IDEMPOTENT.mayRunAgain(true)).isFalse();
    assertThat(RequestKind.STREAM.mayRunAgain(false)).isFalse();
    assertThat(RequestKind.STREAM.mayRunAgain(true)).isTrue();
  }
}
