package org.clementineford.standins;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.security.MessageDigest;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.transport.http.HttpResponse;
import org.junit.jupiter.api.Test;

class OriginStandInTest extends StandInTest {
  private static final String DATA = "/weights/assistant/v1/data";

  private static String sha256(byte[] bytes) throws Exception {
    return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
  }

  // Guards against a manifest whose digests differ from the bytes served.
  @Test
  void rangesMatchTheDigestsOfTheManifest() throws Exception {
    OriginStandIn origin = started(new OriginStandIn(context(), 0));
    WeightContent.Manifest manifest = origin.publish("assistant", "v1", 150_001, 50_000);
    byte[] complete = call(origin, "GET", DATA, Map.of(), "").body();
    assertThat(sha256(complete)).isEqualTo(manifest.digest());
    byte[] last = call(origin, "GET", DATA, Map.of("Range", "bytes=150000-150000"), "").body();
    assertThat(sha256(last)).isEqualTo(manifest.chunkDigests().get(3));
    assertThat(origin.bytesServed()).isEqualTo(150_002);
  }

  // Guards against a bandwidth limit per connection instead of one for the link.
  @Test
  void linkLimitHoldsOverAllConnections() throws Exception {
    OriginStandIn origin = started(new OriginStandIn(context(), 65_536));
    origin.publish("assistant", "v1", 131_072, 65_536);
    final CompletableFuture<HttpResponse> first =
        client.call(origin.address(), request("GET", DATA, Map.of(), ""), 60_000);
    final CompletableFuture<HttpResponse> second =
        client.call(origin.address(), request("GET", DATA, Map.of(), ""), 60_000);
    while (time.scheduledTasks() < 2) {
      Thread.onSpinWait();
    }
    time.advance(2800, TimeUnit.MILLISECONDS);
    assertThat(origin.bytesServed()).isLessThan(4 * 65_536);
    // Sockets are flushed in real time, so the number of steps until the end varies.
    CompletableFuture<Void> both = CompletableFuture.allOf(first, second);
    assertTimeoutPreemptively(
        Duration.ofSeconds(WAIT_SECONDS),
        () -> {
          while (!both.isDone()) {
            time.advance(10, TimeUnit.MILLISECONDS);
            Thread.onSpinWait();
          }
        });
    both.join();
    assertThat(origin.bytesServed()).isEqualTo(4 * 65_536);
  }

  // Guards against injected faults that do not change the bytes.
  @Test
  void corruptionAndReplacementChangeTheBytes() throws Exception {
    OriginStandIn origin = started(new OriginStandIn(context(), 0));
    WeightContent.Manifest manifest = origin.publish("assistant", "v1", 1000, 1000);
    call(origin, "POST", "/faults", Map.of(), "{\"kind\":\"CORRUPTION\",\"count\":1}");
    byte[] corrupt = call(origin, "GET", DATA, Map.of(), "").body();
    byte[] complete = call(origin, "GET", DATA, Map.of(), "").body();
    assertThat(sha256(corrupt)).isNotEqualTo(manifest.digest());
    assertThat(sha256(complete)).isEqualTo(manifest.digest());
    origin.faults().setNext(StandInFaultKind.VERSION_REPLACED, 1);
    byte[] replaced = call(origin, "GET", DATA, Map.of(), "").body();
    assertThat(sha256(replaced)).isNotEqualTo(manifest.digest());
    String next = text(call(origin, "GET", "/weights/assistant/v1/manifest", Map.of(), ""));
    assertThat(next).contains(sha256(replaced));
  }
}
