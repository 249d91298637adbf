package org.clementineford.node.internal;

import java.util.LinkedHashMap;
import java.util.Map;
import org.clementineford.kernel.timeline.TimelineEvent;

/** Converts timeline events to their wire and JSON forms. */
final class WireEvents {
  private WireEvents() {}

  static org.clementineford.wire.TimelineEvent toWire(TimelineEvent event) {
    return new org.clementineford.wire.TimelineEvent(
        event.time().physicalMs(),
        event.time().logical(),
        event.vm(),
        event.incarnation(),
        event.sequence(),
        event.kind().name(),
        event.attributes());
  }

  static Map<String, Object> toJson(org.clementineford.wire.TimelineEvent event) {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("physicalMs", event.getPhysicalMs());
    json.put("logical", event.getLogical());
    json.put("vm", event.getVm());
    json.put("incarnation", event.getIncarnation());
    json.put("sequence", event.getSequence());
    json.put("kind", event.getKind());
    json.put("attributes", event.getAttributes());
    return json;
  }
}
