package org.clementineford.kernel.timeline;

import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;

/**
 * An event on the time line.
 *
 * @param time when it happened
 * @param vm VM on which it happened
 * @param incarnation incarnation of the process
 * @param sequence number of the event in that process, from 1
 * @param kind kind of the event
 * @param attributes details, in the order of their names
 */
public record TimelineEvent(
    HybridTime time,
    String vm,
    long incarnation,
    long sequence,
    EventKind kind,
    Map<String, String> attributes) {

  /** One order of events over all processes. */
  public static final Comparator<TimelineEvent> ORDER =
      Comparator.comparing(TimelineEvent::time)
          .thenComparing(TimelineEvent::vm)
          .thenComparingLong(TimelineEvent::incarnation)
          .thenComparingLong(TimelineEvent::sequence);

  /** Copies the attributes. */
  public TimelineEvent {
    attributes = java.util.Collections.unmodifiableMap(new TreeMap<>(attributes));
  }
}
