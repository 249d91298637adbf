package org.clementineford.kernel.timeline;

import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;

/**
 * An event on the timeline of a process.
 *
 * @param time time of the event
 * @param vm name of the VM on which it happened
 * @param incarnation incarnation of the process
 * @param sequence number of the event in that process, from 1
 * @param kind kind of the event
 * @param attributes details by name, sorted by name
 */
public record TimelineEvent(
    HybridTime time,
    String vm,
    long incarnation,
    long sequence,
    EventKind kind,
    Map<String, String> attributes) {

  /** Total order of the events of all processes. */
  public static final Comparator<TimelineEvent> ORDER =
      Comparator.comparing(TimelineEvent::time)
          .thenComparing(TimelineEvent::vm)
          .thenComparingLong(TimelineEvent::incarnation)
          .thenComparingLong(TimelineEvent::sequence);

  /** Creates an event with a sorted, unmodifiable copy of the attributes. */
  public TimelineEvent {
    attributes = java.util.Collections.unmodifiableMap(new TreeMap<>(attributes));
  }
}
