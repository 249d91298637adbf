package org.clementineford.client.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.clementineford.client.ChangeRollout;
import org.clementineford.client.EntryConnection;
import org.clementineford.client.FleetStatus;
import org.clementineford.client.FleetTimeline;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.SettingException;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;
import org.clementineford.kernel.settings.Settings;
import org.clementineford.kernel.timeline.TimelineEvent;

/** Commands for the status, timeline and rollouts of the fleet. */
final class FleetCommands {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Setting<Boolean> AS_JSON =
      new Setting<>("json", "true prints JSON.", "false", SettingParser.trueOrFalse());
  private static final Setting<String> FORMAT =
      new Setting<>("format", "text, json or svg.", "text", SettingParser.text());
  private static final Setting<String> VM = filter("vm", "Only events of this VM.");
  private static final Setting<String> KIND = filter("kind", "Only events of this kind.");
  private static final Setting<String> VERSION =
      filter("model-version", "Only events with this model version.");
  private static final Setting<String> REQUEST =
      filter("request", "Only events with this request identity.");

  private FleetCommands() {}

  private static Setting<String> filter(String name, String description) {
    return new Setting<>(name, description, "", SettingParser.optionalText());
  }

  static List<Command> all() {
    return List.of(
        Command.onEntryVms(
            "status",
            "Shows revisions and model versions by number of VMs, and transfers.",
            List.of(AS_JSON),
            List.of(),
            FleetCommands::status),
        Command.onEntryVms(
            "timeline",
            "Merges the events of all processes into one sequence.",
            List.of(FORMAT, VM, KIND, VERSION, REQUEST),
            List.of(),
            FleetCommands::timeline),
        rollout(
            "pause",
            "Starts no further transfer or activation of a model.",
            ChangeRollout.Action.PAUSE),
        rollout("resume", "Resumes the rollout of a paused model.", ChangeRollout.Action.RESUME),
        rollout(
            "rollback",
            "Restores the version of a model before its latest version change.",
            ChangeRollout.Action.ROLLBACK));
  }

  private static Command rollout(String word, String summary, ChangeRollout.Action action) {
    return Command.onEntryVms(
        "rollout " + word,
        summary,
        List.of(DocumentCommands.TEAM),
        List.of("MODEL"),
        (connection, settings) ->
            DocumentCommands.describe(
                new ChangeRollout(connection, action, settings.arguments().get(0))
                    .setTeam(settings.get(DocumentCommands.TEAM))
                    .call()));
  }

  private static String status(EntryConnection connection, Settings settings)
      throws ClementinefordException {
    JsonNode status = new FleetStatus(connection).call();
    return settings.get(AS_JSON) ? status.toString() : StatusText.of(status);
  }

  private static String timeline(EntryConnection connection, Settings settings)
      throws ClementinefordException {
    FleetTimeline command = new FleetTimeline(connection);
    String vm = settings.get(VM);
    String kind = settings.get(KIND);
    command.addFilter(event -> vm.isEmpty() || event.vm().equals(vm));
    command.addFilter(event -> kind.isEmpty() || event.kind().name().equals(kind));
    command.addFilter(
        event -> hasAttribute(event, settings.get(VERSION), "version", "modelVersion"));
    command.addFilter(event -> hasAttribute(event, settings.get(REQUEST), "request", "requestId"));
    String format = settings.get(FORMAT);
    return switch (format) {
      case "text" -> TimelineText.of(command.call());
      case "json" -> json(command.call());
      case "svg" -> TimelineSvg.of(command.call());
      default ->
          throw new SettingException(
              "setting --format has the value \"" + format + "\": give text, json or svg");
    };
  }

  private static boolean hasAttribute(TimelineEvent event, String value, String... names) {
    if (value.isEmpty()) {
      return true;
    }
    for (String name : names) {
      if (value.equals(event.attributes().get(name))) {
        return true;
      }
    }
    return false;
  }

  private static String json(FleetTimeline.Result result) {
    Map<String, Object> root = new TreeMap<>();
    root.put("events", result.events());
    root.put("unreachable", result.unreachable());
    try {
      return JSON.writeValueAsString(root);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("events cannot be written as JSON", e);
    }
  }
}
