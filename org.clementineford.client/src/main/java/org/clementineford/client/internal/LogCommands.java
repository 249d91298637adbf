package org.clementineford.client.internal;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.clementineford.client.ExplainRequest;
import org.clementineford.client.FleetLog;
import org.clementineford.client.LogLine;
import org.clementineford.client.RequestExplanation;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;
import org.clementineford.kernel.settings.Settings;

/** Commands that read collected logs. */
final class LogCommands {
  private static final Setting<String> LOGS =
      new Setting<>(
          "logs",
          "Logs of all processes, one file each, named after its VM: files or directories"
              + " separated by commas.",
          null,
          SettingParser.text());

  private LogCommands() {}

  static List<Command> all() {
    return List.of(
        new Command(
            "explain",
            "Explains from collected logs why a request ended as it did.",
            List.of(LOGS),
            List.of("ID"),
            LogCommands::explain));
  }

  private static String explain(Settings settings) throws ClementinefordException {
    List<Path> paths = Arrays.stream(settings.get(LOGS).split(",")).map(Path::of).toList();
    String request = settings.arguments().get(0);
    RequestExplanation explanation = new ExplainRequest(FleetLog.read(paths), request).call();
    StringBuilder text = new StringBuilder();
    explanation.findings().forEach(finding -> text.append(finding).append('\n'));
    text.append("\nlines of the request\n");
    explanation.requestLines().forEach(line -> append(text, line));
    text.append("\nrelated lines around that time\n");
    explanation.relatedLines().forEach(line -> append(text, line));
    return text.toString().stripTrailing();
  }

  private static void append(StringBuilder text, LogLine line) {
    String fields =
        line.fields().entrySet().stream()
            .map(field -> field.getKey() + "=" + field.getValue())
            .collect(Collectors.joining(" "));
    text.append(
        String.format(
            "  %s  %s  %s  %s  %s%n",
            line.time(), line.vm(), line.level(), line.message(), fields));
  }
}
