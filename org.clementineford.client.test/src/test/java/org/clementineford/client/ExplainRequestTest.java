package org.clementineford.client;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.clementineford.client.internal.Main;
import org.clementineford.kernel.errors.ClementinefordException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ExplainRequestTest {
  private static final long BASE = 1_796_000_000_000L;

  @TempDir Path logs;

  private static String line(long afterMs, String message, String... fields) {
    StringBuilder pairs = new StringBuilder();
    for (int i = 0; i < fields.length; i += 2) {
      pairs.append(i == 0 ? "" : ",").append("{\"" + fields[i] + "\":\"" + fields[i + 1] + "\"}");
    }
    return "{\"timestamp\":"
        + (BASE + afterMs)
        + ",\"level\":\"INFO\",\"kvpList\":["
        + pairs
        + "],\"formattedMessage\":\""
        + message
        + "\"}\n";
  }

  private void write(String vm, String... lines) throws IOException {
    Files.writeString(logs.resolve(vm + ".log"), String.join("", lines));
  }

  private RequestExplanation explain(String request) throws ClementinefordException {
    return new ExplainRequest(FleetLog.read(List.of(logs)), request).call();
  }

  @Nested
  class Findings {
    // Guards against findings that an on-call engineer understands only with the code at hand.
    @Test
    void tellWhatEachEndingMeans() throws Exception {
      write(
          "entry-1",
          line(0, "attempt failed", "request", "r1", "endpoint", "e1", "outcome", "SILENT"),
          line(900, "request ended", "request", "r1", "ending", "TIMED_OUT", "endpoint", "e1"));
      RequestExplanation explanation = explain("r1");
      assertThat(explanation.requestLines()).hasSize(2);
      assertThat(explanation.findings().get(0)).contains("TIMED_OUT", "may have run");
      assertThat(explanation.findings().get(1)).contains("e1", "no answer arrived in time");
    }

    // Guards against reporting a request as successful when its last log line is missing.
    @Test
    void sayThatTheLastLineIsMissing() throws Exception {
      write(
          "entry-1",
          line(0, "attempt failed", "request", "r1", "endpoint", "e1", "outcome", "BROKEN"),
          line(50, "log lines dropped", "lines", "12"),
          "{\"timestamp\":17");
      assertThat(explain("r1").findings())
          .anySatisfy(finding -> assertThat(finding).contains("no log line shows how"))
          .anySatisfy(finding -> assertThat(finding).contains("lost 12 log lines"))
          .anySatisfy(finding -> assertThat(finding).contains("1 lines of the logs"));
    }

    // Guards against an empty explanation, which looks like a request without problems.
    @Test
    void areRefusedWithoutAnyLine() throws Exception {
      write("entry-1", line(0, "stopping"));
      assertThatThrownBy(() -> explain("r1"))
          .isInstanceOf(ClementinefordException.class)
          .hasMessageContaining("give the logs of all entry VMs");
    }
  }

  @Nested
  class RelatedLines {
    // Guards against omitting lines that show the cause because the clocks of VMs differ.
    @Test
    void areFoundByTheClockOfTheRequest() throws Exception {
      write(
          "entry-1",
          line(0, "configuration in force", "version", "3"),
          line(20_000, "request ended", "request", "r1", "ending", "STREAMED", "endpoint", "e1"));
      write(
          "entry-2",
          line(60_000, "configuration in force", "version", "3"),
          line(79_000, "endpoint gone", "endpoint", "Endpoint[id=e1]"),
          line(140_000, "endpoint gone", "endpoint", "Endpoint[id=e1]"));
      RequestExplanation explanation = explain("r1");
      assertThat(explanation.relatedLines()).extracting(LogLine::vm).containsExactly("entry-2");
      assertThat(explanation.relatedLines().get(0).time().toEpochMilli()).isEqualTo(BASE + 19_000);
      assertThat(explanation.findings())
          .anySatisfy(finding -> assertThat(finding).contains("entry-2 was 60000 ms ahead"));
    }

    // Guards against reordering the lines of a process when its clock is set back.
    @Test
    void keepTheOrderOfTheirProcess() throws Exception {
      write(
          "entry-1",
          line(5_000, "platform not reached", "kind", "CONFIGURATION"),
          line(1_000, "request ended", "request", "r1", "ending", "KEY_NOT_PROVEN"),
          line(1_500, "platform reached again", "kind", "CONFIGURATION"));
      assertThat(explain("r1").relatedLines())
          .extracting(LogLine::message)
          .containsExactly("platform not reached", "platform reached again");
    }
  }

  // Guards against requiring --entry for a command that only reads files.
  @Test
  void commandNeedsOnlyTheLogs() throws Exception {
    write("entry-1", line(0, "request ended", "request", "r1", "ending", "OVERLOADED"));
    String text = Main.run(new String[] {"explain", "r1", "--logs", logs.toString()}, Map.of());
    assertThat(text).startsWith("OVERLOADED: ").contains("entry-1").contains("has not run");
  }
}
