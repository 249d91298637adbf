package org.clementineford.client.internal;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.clementineford.client.FleetTimeline;
import org.clementineford.kernel.timeline.EventKind;
import org.clementineford.kernel.timeline.TimelineEvent;

/** Draws events as an SVG image with one row for each VM and time from left to right. */
final class TimelineSvg {
  private static final int WIDTH = 1200;
  private static final int LABEL_WIDTH = 160;
  private static final int ROW_HEIGHT = 18;
  private static final int HEADER_HEIGHT = 30;

  private TimelineSvg() {}

  static String of(FleetTimeline.Result result) {
    List<TimelineEvent> events = result.events();
    Map<String, Integer> rows = new TreeMap<>();
    events.forEach(event -> rows.put(event.vm(), 0));
    int row = 0;
    for (Map.Entry<String, Integer> entry : rows.entrySet()) {
      entry.setValue(row++);
    }
    long first = events.isEmpty() ? 0 : events.get(0).time().physicalMs();
    long last = events.isEmpty() ? 1 : events.get(events.size() - 1).time().physicalMs();
    final double scale = (WIDTH - LABEL_WIDTH - 20.0) / Math.max(1, last - first);
    StringBuilder svg = new StringBuilder();
    svg.append(
        String.format(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\""
                + " font-family=\"sans-serif\" font-size=\"11\">%n",
            WIDTH, HEADER_HEIGHT + ROW_HEIGHT * (rows.size() + 1)));
    svg.append(
        String.format(
            "<text x=\"%d\" y=\"16\">%d ms from the first to the last event</text>%n",
            LABEL_WIDTH, last - first));
    rows.forEach(
        (vm, index) ->
            svg.append(
                String.format(
                    "<text x=\"4\" y=\"%d\">%s</text>%n",
                    HEADER_HEIGHT + ROW_HEIGHT * index + 12, escape(vm))));
    for (TimelineEvent event : events) {
      double x = LABEL_WIDTH + (event.time().physicalMs() - first) * scale;
      svg.append(
          String.format(
              java.util.Locale.ROOT,
              "<circle cx=\"%.1f\" cy=\"%d\" r=\"4\" fill=\"%s\"><title>%s</title></circle>%n",
              x,
              HEADER_HEIGHT + ROW_HEIGHT * rows.get(event.vm()) + 8,
              colour(event.kind()),
              escape(
                  event.kind()
                      + " +"
                      + (event.time().physicalMs() - first)
                      + " ms "
                      + event.attributes())));
    }
    return svg.append("</svg>").toString();
  }

  private static String colour(EventKind kind) {
    String name = kind.name();
    if (name.startsWith("TRANSFER") || name.startsWith("CHUNK")) {
      return "steelblue";
    }
    if (name.contains("ACTIVATED") || name.endsWith("IN_FORCE")) {
      return "seagreen";
    }
    if (name.contains("DEAD")
        || name.contains("FAILED")
        || name.contains("BROKEN")
        || name.contains("REFUSED")
        || name.contains("DOWN")) {
      return "firebrick";
    }
    return "gray";
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
