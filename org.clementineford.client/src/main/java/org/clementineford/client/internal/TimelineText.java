package org.clementineford.client.internal;

import java.time.Instant;
import org.clementineford.client.FleetTimeline;
import org.clementineford.kernel.timeline.TimelineEvent;

/** Formats events as lines of text. */
final class TimelineText {
  private TimelineText() {}

  static String of(FleetTimeline.Result result) {
    StringBuilder text = new StringBuilder();
    for (TimelineEvent event : result.events()) {
      text.append(Instant.ofEpochMilli(event.time().physicalMs()))
          .append('.')
          .append(event.time().logical())
          .append("  ")
          .append(event.vm())
          .append("  ")
          .append(event.kind());
      event
          .attributes()
          .forEach((name, value) -> text.append("  ").append(name).append('=').append(value));
      text.append('\n');
    }
    String unreachable = result.unreachable().isEmpty() ? "none" : result.unreachable().toString();
    return text.append("no events from: ").append(unreachable).toString();
  }
}
