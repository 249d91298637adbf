package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.clementineford.testing.VirtualTime;
import org.clementineford.wire.EngineReport;
import org.junit.jupiter.api.Test;

class NextReportingProcessTest {
  private final VirtualTime time = new VirtualTime(0);

  private static void answer(
      ScriptedHttpEndpoint.Request request, ScriptedHttpEndpoint.Connection connection)
      throws IOException {
    connection.startEventStream(request.id());
    connection.writeChunk("id: 1\ndata: new\n\n");
    connection.writeChunk("");
  }

  private static void report(GatewayFixture fixture, long number, boolean changing)
      throws Exception {
    EngineReport report =
        new EngineReport()
            .setWeightVersion(1)
            .setIncarnation(1)
            .setNumber(number)
            .setPace(1)
            .setChangingVersion(changing);
    fixture.run(() -> fixture.gateway().onReport("127.0.0.1", report));
  }

  // Guards against an engine that gets no requests for good, since the process that reports for it
  // was replaced by one whose wall clock, and so the numbers of its reports, were behind.
  @Test
  void isHeardSoonThoughItsNumbersAreLower() throws Exception {
    try (ScriptedHttpEndpoint engine = new ScriptedHttpEndpoint(NextReportingProcessTest::answer);
        GatewayFixture fixture = new GatewayFixture(time, engine)) {
      report(fixture, 1_000_000, true);
      for (int i = 1; i <= 30; i++) {
        time.advance(100, TimeUnit.MILLISECONDS);
        fixture.runDueTimers();
        if (i % 10 == 0) {
          // As when an entry VM subscribes to reports again, once a second.
          fixture.run(() -> fixture.gateway().engines());
        }
        report(fixture, i, false);
      }
      assertThat(fixture.send("POST", "/patient/a", "r", "timeout", "2000").body())
          .contains("data: new");
    }
  }
}
