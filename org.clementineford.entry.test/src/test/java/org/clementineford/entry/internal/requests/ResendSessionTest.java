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

  private final Fleet fleet = new Fleet();
  private final StringBuilder session = new StringBuilder();
  private final long[] lastSequence = new long[3];

  private void note(String line) {
    session
        .append(String.format("%6d ms  ", TimeUnit.NANOSECONDS.toMillis(fleet.time.nanoTime())))
        .append(line)
        .append('\n');
  }

  private void events() {
    List<TimelineEvent> events = new ArrayList<>();
    for (int number = 1; number <= 2; number++) {
      for (TimelineEvent event : fleet.entry(number).timeline.after(lastSequence[number], 100)) {
        events.add(event);
        lastSequence[number] = event.sequence();
      }
    }
    events.sort(TimelineEvent.ORDER);
    for (TimelineEvent event : events) {
      note(event.vm() + " " + event.kind() + " " + event.attributes());
    }
  }

  private FakeCall reserve(int entry, String key) {
    note("caller -> entry-" + entry + " POST reservation, key " + key);
    return fleet.reserve(fleet.entry(entry), key);
  }

  private void pass(long milliseconds) {
    fleet.time.advance(milliseconds, TimeUnit.MILLISECONDS);
    events();
  }

  private void seen(String name, FakeCall call, String key) {
    String state =
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
    note("caller sees for " + name + ": " + state);
    note("runs of key " + key + ": " + fleet.runs(key));
  }

  private void endpoints(FakeEndpoint.Behavior behavior) {
    fleet.endpoints.values().forEach(endpoint -> endpoint.behavior = behavior);
  }

  // Guards against unintended changes in what callers, platform and endpoints see.
  @Test
  void matchesTheGoldenFile() throws IOException {
    whileRunning();
    afterTheEnd();
    entryDiesBetweenClaimAndDispatch();
    platformOutage();
    endpointRestarts();
    assertThat(session.toString()).isEqualTo(golden());
  }

  private void whileRunning() {
    note("== resend while the first run goes on");
    endpoints(FakeEndpoint.Behavior.KEEP_RUNNING);
    final FakeCall first = reserve(1, "k1");
    pass(10);
    final FakeCall second = reserve(2, "k1");
    pass(10);
    seen("the second", second, "k1");
    fleet.endpoints.values().forEach(FakeEndpoint::finishRuns);
    events();
    seen("the first", first, "k1");
    seen("the second", second, "k1");
    endpoints(FakeEndpoint.Behavior.ANSWER);
  }

  private void afterTheEnd() {
    note("== resend after the end");
    FakeCall third = reserve(2, "k1");
    pass(10);
    seen("the third", third, "k1");
  }

  private void entryDiesBetweenClaimAndDispatch() {
    note("== entry-1 crashes between claim and dispatch");
    fleet.entry(1).dead = true;
    reserve(1, "k2");
    pass(10);
    FakeCall resend = reserve(2, "k2");
    pass(10);
    seen("the resend", resend, "k2");
    fleet.entry(1).dead = false;
  }

  private void platformOutage() {
    note("== platform down, then up again");
    fleet.store.fault(FakeStore.Fault.DOWN);
    FakeCall refused = reserve(1, "k3");
    pass(10);
    seen("the first", refused, "k3");
    fleet.store.fault(FakeStore.Fault.NONE);
    FakeCall resend = reserve(2, "k3");
    pass(10);
    seen("the resend", resend, "k3");
  }

  private void endpointRestarts() {
    note("== the endpoints restart during the run");
    endpoints(FakeEndpoint.Behavior.KEEP_RUNNING);
    reserve(1, "k4");
    pass(10);
    fleet.endpoints.values().forEach(FakeEndpoint::restart);
    fleet.report();
    FakeCall resend = reserve(2, "k4");
    pass(10);
    seen("the resend", resend, "k4");
  }

  private static String golden() throws IOException {
    try (InputStream stream = ResendSessionTest.class.getResourceAsStream(GOLDEN)) {
      return stream == null ? "" : new String(stream.readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
