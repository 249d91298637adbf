package org.clementineford.kernel.timeline;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The latest events of one process, up to a fixed number. May be used from any thread. */
public final class Timeline {
  private final HybridLogicalClock clock;
  private final String vm;
  private final long incarnation;
  private final int capacity;
  private final ArrayDeque<TimelineEvent> events = new ArrayDeque<>();
  private long lastSequence;

  /**
   * Creates an empty timeline.
   *
   * @param clock clock that stamps the events
   * @param vm name of the VM
   * @param incarnation incarnation of the process
   * @param capacity largest number of events to keep
   */
  public Timeline(HybridLogicalClock clock, String vm, long incarnation, int capacity) {
    this.clock = clock;
    this.vm = vm;
    this.incarnation = incarnation;
    this.capacity = capacity;
  }

  /**
   * Records an event and drops the oldest one if the timeline is full.
   *
   * @param kind kind of the event
   * @param details attributes of the event: names and values alternately
   */
  public void record(EventKind kind, String... details) {
    Map<String, String> attributes = new HashMap<>();
    for (int i = 0; i + 1 < details.length; i += 2) {
      attributes.put(details[i], details[i + 1]);
    }
    synchronized (events) {
      lastSequence++;
      events.addLast(
          new TimelineEvent(clock.now(), vm, incarnation, lastSequence, kind, attributes));
      if (events.size() > capacity) {
        events.removeFirst();
      }
    }
  }

  /**
   * Returns the events after a sequence number, in the order of their sequence numbers.
   *
   * @param afterSequence the last sequence number that the caller already has; 0 for none
   * @param limit largest number of events to return
   * @return the events
   */
  public List<TimelineEvent> after(long afterSequence, int limit) {
    List<TimelineEvent> result = new ArrayList<>();
    synchronized (events) {
      for (TimelineEvent event : events) {
        if (event.sequence() > afterSequence && result.size() < limit) {
          result.add(event);
        }
      }
    }
    return result;
  }
}
