package org.clementineford.node.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.clementineford.configuration.AppliedChange;
import org.clementineford.configuration.ConfigurationSnapshot;
import org.clementineford.configuration.Document;
import org.clementineford.configuration.DocumentSection;
import org.clementineford.configuration.DocumentValidator;
import org.clementineford.configuration.LatestDocument;
import org.clementineford.configuration.errors.DocumentException;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.timeline.EventKind;
import org.clementineford.kernel.timeline.HybridLogicalClock;
import org.clementineford.kernel.timeline.HybridTime;
import org.clementineford.kernel.timeline.Timeline;
import org.clementineford.node.ConfigurationView;
import org.clementineford.node.PayloadRouter;
import org.clementineford.transport.IncomingExchange;
import org.clementineford.transport.Payloads;
import org.clementineford.transport.PeerNetwork;
import org.clementineford.wire.Payload;
import org.clementineford.wire.RevisionAnnounce;
import org.clementineford.wire.Sections;
import org.clementineford.wire.SectionsPull;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Holds the configuration in force, announces new revisions and pulls missing sections. */
public final class ConfigurationAgent implements ConfigurationView {
  private static final Logger LOG = LoggerFactory.getLogger(ConfigurationAgent.class);
  // A pull that is unanswered after this time no longer blocks a pull from another peer.
  private static final long PULL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final PeerNetwork network;
  private final Timeline timeline;
  private final HybridLogicalClock hybridClock;
  private final NanoClock nanoClock;
  private final EpochClock epochClock;
  private final Supplier<List<HostPort>> receivers;
  private final List<Consumer<ConfigurationSnapshot>> listeners = new CopyOnWriteArrayList<>();
  private final LatestDocument latest = new LatestDocument();
  private final Deque<ConfigurationSnapshot> undelivered = new ArrayDeque<>();
  private volatile ConfigurationSnapshot snapshot = ConfigurationSnapshot.EMPTY;
  private boolean delivering;
  private long inForceSinceMs;
  private String lastRefusal;
  private long pullingRevision;
  private long pullStartNanos;
  private long queuedRevision;
  private HostPort queuedPeer;

  /**
   * Creates an agent without a document.
   *
   * @param network connections to peers
   * @param timeline events of this process
   * @param hybridClock clock of the timeline; also receives the times of accepted changes
   * @param nanoClock monotonic clock
   * @param epochClock wall clock, only for display
   * @param receivers peers to which a new revision is announced
   */
  public ConfigurationAgent(
      PeerNetwork network,
      Timeline timeline,
      HybridLogicalClock hybridClock,
      NanoClock nanoClock,
      EpochClock epochClock,
      Supplier<List<HostPort>> receivers) {
    this.network = network;
    this.timeline = timeline;
    this.hybridClock = hybridClock;
    this.nanoClock = nanoClock;
    this.epochClock = epochClock;
    this.receivers = receivers;
  }

  /**
   * Registers the handlers of announcements and pulls.
   *
   * @param payloads router of the process
   */
  public void register(PayloadRouter payloads) {
    payloads.register(Payload._Fields.REVISION_ANNOUNCE, this::onAnnounce);
    payloads.register(Payload._Fields.SECTIONS_PULL, this::onPull);
  }

  @Override
  public ConfigurationSnapshot current() {
    return snapshot;
  }

  @Override
  public void onChange(Consumer<ConfigurationSnapshot> listener) {
    listeners.add(listener);
  }

  /**
   * Returns the document in force.
   *
   * @return the document with the highest revision seen
   */
  public synchronized Document document() {
    return latest.current();
  }

  /**
   * Returns the time at which the current revision came into force in this process.
   *
   * @return wall-clock time in milliseconds since the epoch; 0 before the first document
   */
  public synchronized long inForceSinceMs() {
    return inForceSinceMs;
  }

  private void onAnnounce(Payload opening, IncomingExchange exchange) {
    exchange.finish(Payloads.acknowledgement());
    RevisionAnnounce announce = opening.getRevisionAnnounce();
    try {
      onPeerRevision(announce.getRevision(), Payloads.fromWire(announce.getSender()).address());
    } catch (org.clementineford.kernel.errors.SettingException e) {
      LOG.warn("ignoring a revision announcement with an invalid sender: {}", e.getMessage());
    }
  }

  private void onPull(Payload opening, IncomingExchange exchange) {
    Document document = document();
    long since = opening.getSectionsPull().getSinceRevision();
    Sections sections =
        new Sections(
            document.revision(),
            document.changedSince(since).stream().map(WireSections::toWire).toList(),
            since == 0);
    exchange.finish(Payload.sections(sections));
  }

  /**
   * Handles the revision of a peer: pulls it if it is higher than the one in force.
   *
   * @param revision revision of the peer
   * @param peer address on which the peer listens
   */
  public void onPeerRevision(long revision, HostPort peer) {
    long since;
    synchronized (this) {
      since = latest.current().revision();
      if (revision <= since) {
        return;
      }
      boolean pullInProgress =
          pullingRevision > 0 && nanoClock.nanoTime() - pullStartNanos < PULL_TIMEOUT_NANOS;
      if (pullInProgress) {
        if (revision > pullingRevision && revision > queuedRevision) {
          queuedRevision = revision;
          queuedPeer = peer;
        }
        return;
      }
      pullingRevision = revision;
      pullStartNanos = nanoClock.nanoTime();
    }
    network
        .call(peer, Payload.sectionsPull(new SectionsPull(since)))
        .whenComplete((reply, failure) -> onPullReply(since, reply, failure));
  }

  private void onPullReply(long since, Payload reply, Throwable failure) {
    if (failure == null && reply.isSetSections()) {
      Sections sections = reply.getSections();
      offer(
          since,
          sections.getRevision(),
          sections.getSections().stream().map(WireSections::fromWire).toList());
    }
    HostPort peer;
    long revision;
    synchronized (this) {
      pullingRevision = 0;
      peer = queuedPeer;
      revision = queuedRevision;
      queuedPeer = null;
      queuedRevision = 0;
    }
    if (peer != null) {
      onPeerRevision(revision, peer);
    }
  }

  private void offer(long since, long revision, List<DocumentSection> sections) {
    Document candidate;
    synchronized (this) {
      Document current = latest.current();
      if (revision <= current.revision() || since > current.revision()) {
        return;
      }
      candidate = current.merge(revision, sections);
    }
    offer(candidate, "peer");
  }

  /**
   * Puts a complete document into force if its revision is higher and it matches the schema.
   *
   * @param document the document
   * @param source source of the document, for the timeline
   * @return the outcome; {@code STALE} also for a document that does not match the schema
   */
  public LatestDocument.Outcome offer(Document document, String source) {
    ConfigurationSnapshot next;
    try {
      next = DocumentValidator.validateAndMerge(document);
    } catch (DocumentException e) {
      recordRefusal(document.revision(), e);
      return LatestDocument.Outcome.STALE;
    }
    for (AppliedChange change : document.changes()) {
      hybridClock.receive(new HybridTime(change.epochMs(), 0));
    }
    LatestDocument.Outcome outcome;
    synchronized (this) {
      outcome = latest.offer(document);
      if (outcome.changed()) {
        snapshot = next;
        inForceSinceMs = epochClock.time();
        undelivered.add(next);
        timeline.record(
            EventKind.REVISION_IN_FORCE,
            "revision",
            Long.toString(next.revision()),
            "source",
            source);
      }
    }
    if (outcome.changed()) {
      try {
        announce(next.revision());
      } finally {
        deliver();
      }
    }
    return outcome;
  }

  /**
   * Notifies the listeners in the order of the revisions. One thread at a time does this, without
   * holding the lock of this object: listeners take other locks under which this object is called,
   * so holding it could cause a deadlock. A listener that fails does not keep the others, and later
   * revisions, from being notified.
   */
  private void deliver() {
    ConfigurationSnapshot next = nextToDeliver(false);
    while (next != null) {
      for (Consumer<ConfigurationSnapshot> listener : listeners) {
        try {
          listener.accept(next);
        } catch (RuntimeException | Error e) {
          LOG.error("a component failed to apply revision {}", next.revision(), e);
        }
      }
      next = nextToDeliver(true);
    }
  }

  private synchronized ConfigurationSnapshot nextToDeliver(boolean isDeliverer) {
    if (delivering && !isDeliverer) {
      return null;
    }
    delivering = !undelivered.isEmpty();
    return undelivered.poll();
  }

  /**
   * Records that a document was refused.
   *
   * @param revision its revision, or 0 if unknown
   * @param cause reason of the refusal
   */
  public void recordRefusal(long revision, DocumentException cause) {
    synchronized (this) {
      // The same invalid document is offered again every second until it is repaired.
      if (cause.getMessage().equals(lastRefusal)) {
        return;
      }
      lastRefusal = cause.getMessage();
    }
    LOG.warn("refused revision {} of the configuration: {}", revision, cause.getMessage());
    timeline.record(
        EventKind.REVISION_REFUSED,
        "revision",
        Long.toString(revision),
        "cause",
        cause.getMessage());
  }

  private void announce(long revision) {
    Payload announcement = Payload.revisionAnnounce(new RevisionAnnounce(revision, network.self()));
    for (HostPort receiver : receivers.get()) {
      network.call(receiver, announcement);
    }
  }
}
