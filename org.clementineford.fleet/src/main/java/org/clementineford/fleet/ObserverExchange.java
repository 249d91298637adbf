package org.clementineford.fleet;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.serving.directory.DirectoryCopyState;
import org.clementineford.serving.directory.DirectoryEntry;
import org.clementineford.serving.directory.HistoryPosition;
import org.clementineford.serving.directory.ObjectKind;
import org.clementineford.serving.directory.ObserverDuty;
import org.clementineford.wire.CopyPosition;
import org.clementineford.wire.CopyPositions;
import org.clementineford.wire.FleetDatagram;
import org.clementineford.wire.PositionsRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lets most entry VMs of a data centre follow the copies of a few observers instead of watching the
 * platform. Observers announce the positions of their copies, at once when these change; a follower
 * fetches what is newer. Only the answer to a follower's own question proves its copy current, by
 * the time of the question: an announcement may have waited in a buffer while the VM was paused.
 * Not thread-safe.
 */
public final class ObserverExchange {
  private static final Logger LOG = LoggerFactory.getLogger(ObserverExchange.class);

  /** Interval at which followers ask, in milliseconds. */
  private static final long ASK_INTERVAL_MS = 250;

  /** Asking intervals between two announcements of an observer. */
  private static final int ANNOUNCE_TICKS = 2;

  /** Time after which a question is forgotten. */
  private static final long QUESTION_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Time after which a copy that did not arrive is requested from another VM. */
  private static final long REQUEST_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /**
   * Time for which an observer's calls to the platform fail before it no longer announces itself as
   * one. A call that was cut off is repeated twice by then, so that a platform that answers is
   * reached.
   */
  private static final long FAILING_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private final DirectorySync sync;
  private final DirectoryExchange copies;
  private final ObserverDuty duty;
  private final NanoClock clock;
  private final HostPort self;
  private final int peerPort;
  private final String dataCentre;
  private final List<ObjectKind> kinds;
  private final BiConsumer<HostPort, FleetDatagram> sender;
  private final Set<HostPort> members = new LinkedHashSet<>();
  private final Map<Long, Long> questions = new HashMap<>();
  private final Map<ObjectKind, List<CopyRequest>> requests = new EnumMap<>(ObjectKind.class);

  /** Newest positions that were announced while a request was on its way. */
  private final Map<ObjectKind, Announcement> announced = new EnumMap<>(ObjectKind.class);

  private long nextQuestion;
  private int ticks;

  /** A request for a copy that is on its way. */
  private record CopyRequest(HostPort member, HistoryPosition position, long at) {}

  /** A position that a VM has announced. */
  private record Announcement(HostPort member, HistoryPosition position) {}

  /**
   * Creates the exchange of a VM that observes.
   *
   * @param sync copies of platform objects; its watches end and begin with the duty
   * @param copies requests copies from peers
   * @param duty decides whether this VM observes; it names VMs by their hosts
   * @param clock monotonic clock that counts the time for which the VM was suspended
   * @param settings addresses and data centre of this VM
   * @param kinds watched kinds whose positions are exchanged
   * @param firstQuestion random number, so that answers to an earlier process count for nothing
   * @param sender sends datagrams
   */
  public ObserverExchange(
      DirectorySync sync,
      DirectoryExchange copies,
      ObserverDuty duty,
      NanoClock clock,
      VmSettings settings,
      List<ObjectKind> kinds,
      long firstQuestion,
      BiConsumer<HostPort, FleetDatagram> sender) {
    this.sync = sync;
    this.copies = copies;
    this.duty = duty;
    this.clock = clock;
    this.self = settings.datagramAddress();
    this.peerPort = settings.peerAddress().port();
    this.dataCentre = settings.dataCentre();
    this.kinds = List.copyOf(kinds);
    this.nextQuestion = firstQuestion;
    this.sender = sender;
  }

  /**
   * Starts to ask or to announce.
   *
   * @param scheduler runs timers on the thread that uses this object
   */
  public void start(Scheduler scheduler) {
    scheduler.scheduleWithFixedDelay(this::tick, ASK_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Adds the entry VMs that the platform lists in this VM's data centre.
   *
   * @param entries entries of entry VMs
   * @param decoder decodes the entries; others than valid ones are skipped
   */
  public void addEntryVms(Iterable<DirectoryEntry> entries, DirectoryDecoder decoder) {
    for (DirectoryEntry entry : entries) {
      decoder
          .entryVm(entry)
          .filter(vm -> vm.dataCentre().equals(dataCentre))
          .ifPresent(vm -> addMember(new HostPort(vm.address().host(), self.port())));
    }
  }

  private void addMember(HostPort member) {
    if (!member.equals(self)) {
      members.add(member);
    }
  }

  /**
   * Returns whether this VM watches the platform.
   *
   * @return true for an observer
   */
  public boolean isObserving() {
    return duty.isObserving();
  }

  /** Announces a change of a copy, if this VM observes. */
  public void copyChanged() {
    if (duty.isObserving()) {
      announce();
    }
  }

  private void tick() {
    updateDuty();
    ticks++;
    if (!duty.isObserving()) {
      duty.observers().forEach(this::ask);
    } else if (ticks % ANNOUNCE_TICKS == 0) {
      announce();
    }
  }

  private void updateDuty() {
    ObserverDuty.Step step = duty.update(isSound(), memberHosts(), clock.nanoTime());
    if (step == ObserverDuty.Step.NONE) {
      return;
    }
    LOG.atInfo()
        .addKeyValue("observers", String.join(",", duty.observers()))
        .addKeyValue("sound", isSound())
        .log(
            step == ObserverDuty.Step.OBSERVE
                ? "watching the platform, since too few observers of the data centre answer"
                : "following the observers of the data centre");
    for (ObjectKind kind : kinds) {
      sync.setSuspended(kind, step == ObserverDuty.Step.FOLLOW);
    }
    if (step == ObserverDuty.Step.OBSERVE) {
      announce();
    }
  }

  private List<String> memberHosts() {
    return members.stream().map(HostPort::host).toList();
  }

  private boolean isSound() {
    long lag = duty.isObserving() ? 0 : DirectorySync.FOLLOWER_LAG_NANOS;
    long now = clock.nanoTime();
    return kinds.stream()
        .allMatch(kind -> sync.copy(kind).ageNanos(now) <= sync.maxAgeNanos(kind) + lag);
  }

  private void ask(String observer) {
    long now = clock.nanoTime();
    questions.values().removeIf(askedAt -> now - askedAt > QUESTION_NANOS);
    questions.put(nextQuestion, now);
    FleetDatagram datagram = new FleetDatagram();
    datagram.setPositionsRequest(new PositionsRequest().setQuestion(nextQuestion));
    nextQuestion++;
    sender.accept(new HostPort(observer, self.port()), datagram);
  }

  private void announce() {
    CopyPositions positions = positions();
    members.forEach(member -> send(member, positions));
  }

  private void send(HostPort member, CopyPositions positions) {
    FleetDatagram datagram = new FleetDatagram();
    datagram.setPositions(positions);
    sender.accept(member, datagram);
  }

  private CopyPositions positions() {
    List<CopyPosition> positions = new ArrayList<>();
    for (ObjectKind kind : kinds) {
      DirectoryCopyState copy = sync.copy(kind);
      if (copy.isProven()) {
        positions.add(
            new CopyPosition()
                .setKind(kind.name())
                .setEra(copy.position().era())
                .setRevision(copy.position().revision())
                .setProvenAgeMs(
                    TimeUnit.NANOSECONDS.toMillis(copy.ageNanos(clock.nanoTime())) + 1));
      }
    }
    return new CopyPositions().setObserving(reachesPlatform()).setPositions(positions);
  }

  /** Returns whether this VM watches the platform and is answered. */
  private boolean reachesPlatform() {
    return duty.isObserving()
        && kinds.stream().allMatch(kind -> sync.failingNanos(kind) < FAILING_NANOS);
  }

  /**
   * Answers the question of a follower.
   *
   * @param member address of the follower
   * @param request the question
   */
  public void onRequest(HostPort member, PositionsRequest request) {
    addMember(member);
    send(member, positions().setQuestion(request.getQuestion()));
  }

  /**
   * Processes the positions of another VM's copies.
   *
   * @param member address of the VM
   * @param message its positions, announced or in answer to a question
   */
  public void onPositions(HostPort member, CopyPositions message) {
    addMember(member);
    final long now = clock.nanoTime();
    final Long askedAt = message.isSetQuestion() ? questions.remove(message.getQuestion()) : null;
    Set<ObjectKind> sound = EnumSet.noneOf(ObjectKind.class);
    for (CopyPosition position : message.getPositions()) {
      ObjectKind kind = kind(position.getKind());
      if (kind == null) {
        continue;
      }
      long ageNanos = TimeUnit.MILLISECONDS.toNanos(position.getProvenAgeMs());
      if (ageNanos >= 0 && ageNanos <= sync.maxAgeNanos(kind)) {
        sound.add(kind);
      }
      if (!duty.isObserving()) {
        HistoryPosition of = new HistoryPosition(position.getEra(), position.getRevision());
        if (of.compareTo(sync.copy(kind).position()) > 0) {
          if (askedAt != null || duty.mayAnswer(member.host())) {
            requestCopy(member, kind, of, now);
          }
        } else if (askedAt != null) {
          sync.applyPeerCopy(kind, of, null, Map.of(), askedAt - ageNanos);
        }
      }
    }
    boolean isSoundObserver = message.isObserving() && sound.containsAll(kinds);
    if (askedAt != null) {
      duty.answered(member.host(), isSoundObserver, now);
    } else {
      duty.heard(member.host(), isSoundObserver, now);
      if (duty.lacksAnswer(member.host())) {
        ask(member.host());
      }
    }
  }

  private ObjectKind kind(String name) {
    return kinds.stream().filter(kind -> kind.name().equals(name)).findFirst().orElse(null);
  }

  /**
   * Requests a copy, unless it is on its way, or another one from the same VM is. Further ones
   * would fill the link of that VM, so that none arrives in time.
   */
  private void requestCopy(HostPort member, ObjectKind kind, HistoryPosition position, long now) {
    List<CopyRequest> pending = requests.computeIfAbsent(kind, key -> new ArrayList<>());
    boolean isPending =
        pending.stream()
            .anyMatch(
                before ->
                    before.member().equals(member)
                        || (now - before.at() < REQUEST_NANOS
                            && before.position().compareTo(position) >= 0));
    if (isPending) {
      announced.merge(
          kind,
          new Announcement(member, position),
          (old, next) -> next.position().compareTo(old.position()) > 0 ? next : old);
      return;
    }
    CopyRequest request = new CopyRequest(member, position, now);
    pending.add(request);
    copies
        .requestCopies(new HostPort(member.host(), peerPort), List.of(kind))
        .whenComplete((done, failure) -> answered(kind, request));
  }

  /** Requests what was announced while a request was on its way. */
  private void answered(ObjectKind kind, CopyRequest request) {
    requests.get(kind).remove(request);
    Announcement next = announced.remove(kind);
    if (next != null
        && !duty.isObserving()
        && next.position().compareTo(sync.copy(kind).position()) > 0) {
      requestCopy(next.member(), kind, next.position(), clock.nanoTime());
    }
  }
}
