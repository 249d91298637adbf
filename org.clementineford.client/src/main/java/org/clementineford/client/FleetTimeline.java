package org.clementineford.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.timeline.EventKind;
import org.clementineford.kernel.timeline.HybridTime;
import org.clementineford.kernel.timeline.TimelineEvent;

/** Reads the events of all members that answer and merges them into one sequence. */
public final class FleetTimeline {
  private final EntryConnection connection;
  private Predicate<TimelineEvent> filter = event -> true;

  /**
   * Events of the fleet.
   *
   * @param events events in the order of the hybrid logical clock
   * @param unreachable members whose events are missing
   */
  public record Result(List<TimelineEvent> events, List<String> unreachable) {}

  /**
   * Creates the command.
   *
   * @param connection connection to entry VMs
   */
  public FleetTimeline(EntryConnection connection) {
    this.connection = connection;
  }

  /**
   * Adds a filter. An event must pass all filters.
   *
   * @param newFilter returns true for events to keep
   * @return this command
   */
  public FleetTimeline addFilter(Predicate<TimelineEvent> newFilter) {
    this.filter = filter.and(newFilter);
    return this;
  }

  /**
   * Reads the events.
   *
   * @return the events, and the members that did not answer
   * @throws ClementinefordException if no entry VM answers
   */
  public Result call() throws ClementinefordException {
    List<TimelineEvent> events = new ArrayList<>();
    List<String> unreachable = new ArrayList<>();
    for (JsonNode member : connection.get("/timeline").path("members")) {
      if (!member.path("reachable").asBoolean()) {
        unreachable.add(member.path("vm").asText());
      }
      for (JsonNode event : member.path("events")) {
        TimelineEvent parsed = parse(event);
        if (filter.test(parsed)) {
          events.add(parsed);
        }
      }
    }
    events.sort(TimelineEvent.ORDER);
    return new Result(events, unreachable);
  }

  private static TimelineEvent parse(JsonNode event) {
    Map<String, String> attributes = new HashMap<>();
    event
        .path("attributes")
        .properties()
        .forEach(attribute -> attributes.put(attribute.getKey(), attribute.getValue().asText()));
    return new TimelineEvent(
        new HybridTime(event.path("physicalMs").asLong(), event.path("logical").asInt()),
        event.path("vm").asText(),
        event.path("incarnation").asLong(),
        event.path("sequence").asLong(),
        EventKind.valueOf(event.path("kind").asText()),
        attributes);
  }
}
