package org.clementineford.entry.internal.requests;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.timeline.TimelineEvent;
import org.junit.jupiter.api.Test;

/** Compares a complete session of resends through another entry VM with a golden file. */
class ResendSessionTest {
  private static final String GOLDEN = "resend-across-entry-vms.txt";

  private final VirtualTimeFleet fleet = new VirtualTimeFleet();
  private final StringBuilder session = new StringBuilder();
  private final long[] lastSequence = new long[3];

  private void appendLine(String line) {
    session
        .append(String.format("%6d ms  ", TimeUnit.NANOSECONDS.toMillis(fleet.time.nanoTime())))
        .append(line)
        .append('\n');
  }

  private void appendEvents() {
    List<TimelineEvent> events = new ArrayList<>();
    for (int number = 1; number <= 2; number++) {
      for (TimelineEvent event : fleet.entry(number).timeline.after(lastSequence[number], 100)) {
        events.add(event);
        lastSequence[number] = event.sequence();
      }
    }
    events.sort(TimelineEvent.ORDER);
    for (TimelineEvent event : events) {
      appendLine(event.vm() + " " + event.kind() + " " + event.attributes());
    }
  }

  private FakeCall reserve(int entry, String key) {
    appendLine("caller -> entry-" + entry + " POST reservation, key " + key);
    return fleet.reserve(fleet.entry(entry), key);
  }

  private void advance(long milliseconds) {
    fleet.time.advance(milliseconds, TimeUnit.MILLISECONDS);
    appendEvents();
  }

  private void appendResponse(String name, FakeCall call, String key) {
    String response =
        call.isOpen()
            ? "waits"
            : call.status
                + " run="
                + call.run()
                + " retry-after="
                + call.headers.get("Retry-After")
                + " \""
                + call.body()
                + "\"";
    appendLine("caller sees for " + name + ": " + response);
    appendLine("runs of key " + key + ": " + fleet.runs(key));
  }

  private void setAllBehaviors(FakeEndpoint.Behavior behavior) {
    fleet.endpoints.values().forEach(endpoint -> endpoint.behavior = behavior);
  }

  // Guards against unintended changes in what callers, platform and endpoints see.
  @Test
  void matchesTheGoldenFile() throws IOException {
    resendWhileRunning();
    resendAfterTheEnd();
    entryCrashesBetweenClaimAndDispatch();
    resendAfterPlatformOutage();
    resendAfterEndpointRestart();
    assertThat(session.toString()).isEqualTo(golden());
  }

  private void resendWhileRunning() {
    appendLine("== resend while the first run goes on");
    setAllBehaviors(FakeEndpoint.Behavior.KEEP_RUNNING);
    final FakeCall first = reserve(1, "k1");
    advance(10);
    final FakeCall second = reserve(2, "k1");
    advance(10);
    appendResponse("the second", second, "k1");
    fleet.endpoints.values().forEach(FakeEndpoint::finishRuns);
    appendEvents();
    appendResponse("the first", first, "k1");
    appendResponse("the second", second, "k1");
    setAllBehaviors(FakeEndpoint.Behavior.ANSWER);
  }

  private void resendAfterTheEnd() {
    appendLine("== resend after the end");
    FakeCall third = reserve(2, "k1");
    advance(10);
    appendResponse("the third", third, "k1");
  }

  private void entryCrashesBetweenClaimAndDispatch() {
    appendLine("== entry-1 crashes between claim and dispatch");
    fleet.entry(1).crashed = true;
    reserve(1, "k2");
    advance(10);
    FakeCall resend = reserve(2, "k2");
    advance(10);
    appendResponse("the resend", resend, "k2");
    fleet.entry(1).crashed = false;
  }

  private void resendAfterPlatformOutage() {
    appendLine("== platform down, then up again");
    fleet.store.fault(FakeStore.Fault.DOWN);
    FakeCall refused = reserve(1, "k3");
    advance(10);
    appendResponse("the first", refused, "k3");
    fleet.store.fault(FakeStore.Fault.NONE);
    FakeCall resend = reserve(2, "k3");
    advance(10);
    appendResponse("the resend", resend, "k3");
  }

  private void resendAfterEndpointRestart() {
    appendLine("== the endpoints restart during the run");
    setAllBehaviors(FakeEndpoint.Behavior.KEEP_RUNNING);
    reserve(1, "k4");
    advance(10);
    fleet.endpoints.values().forEach(FakeEndpoint::restart);
    fleet.sendLoadReports();
    FakeCall resend = reserve(2, "k4");
    advance(10);
    appendResponse("the resend", resend, "k4");
  }

  private static String golden() throws IOException {
    try (InputStream stream = ResendSessionTest.class.getResourceAsStream(GOLDEN)) {
      return stream == null ? "" : new String(stream.readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
