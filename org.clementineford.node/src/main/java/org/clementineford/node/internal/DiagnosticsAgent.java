package org.clementineford.node.internal;

import java.util.List;
import java.util.function.BooleanSupplier;
import org.clementineford.kernel.timeline.Timeline;
import org.clementineford.kernel.timeline.TimelineEvent;
import org.clementineford.node.PayloadRouter;
import org.clementineford.node.SharedServices;
import org.clementineford.node.StatusContributor;
import org.clementineford.transport.PeerNetwork;
import org.clementineford.wire.Payload;
import org.clementineford.wire.Status;
import org.clementineford.wire.TimelineEvents;
import org.clementineford.wire.TimelineFetch;

/** Answers requests of peers for the timeline or the status of this process. */
public final class DiagnosticsAgent {
  private static final int MAX_EVENTS = 1000;

  private final PeerNetwork network;
  private final ConfigurationAgent configuration;
  private final Timeline timeline;
  private final SharedServices shared;
  private final BooleanSupplier leaving;

  /**
   * Creates an agent.
   *
   * @param network connections to peers
   * @param configuration configuration in force
   * @param timeline events of this process
   * @param shared services, possibly with a {@link StatusContributor} of a component
   * @param leaving returns whether this process is leaving
   */
  public DiagnosticsAgent(
      PeerNetwork network,
      ConfigurationAgent configuration,
      Timeline timeline,
      SharedServices shared,
      BooleanSupplier leaving) {
    this.network = network;
    this.configuration = configuration;
    this.timeline = timeline;
    this.shared = shared;
    this.leaving = leaving;
  }

  /**
   * Registers the handlers.
   *
   * @param payloads router of the process
   */
  public void register(PayloadRouter payloads) {
    payloads.register(
        Payload._Fields.TIMELINE_FETCH,
        (opening, exchange) ->
            exchange.finish(Payload.timelineEvents(events(opening.getTimelineFetch()))));
    payloads.register(
        Payload._Fields.STATUS_FETCH,
        (opening, exchange) -> exchange.finish(Payload.status(status())));
  }

  /**
   * Returns the status of this process.
   *
   * @return the status
   */
  public Status status() {
    return new Status(
        network.self(),
        configuration.current().revision(),
        shared
            .find(StatusContributor.class)
            .map(StatusContributor::modelStatuses)
            .orElse(List.of()),
        leaving.getAsBoolean(),
        configuration.inForceSinceMs());
  }

  /**
   * Returns events of this process.
   *
   * @param fetch last sequence number that the caller has, and maximum number of events
   * @return the events, and the sequence number before that of the first event still kept
   */
  public TimelineEvents events(TimelineFetch fetch) {
    int limit = Math.max(1, Math.min(MAX_EVENTS, fetch.getLimit()));
    List<TimelineEvent> events = timeline.after(fetch.getAfterSequence(), limit);
    List<TimelineEvent> first = timeline.after(0, 1);
    return new TimelineEvents(
        events.stream().map(WireEvents::toWire).toList(),
        first.isEmpty() ? 0 : first.get(0).sequence() - 1);
  }
}
