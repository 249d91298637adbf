package org.clementineford.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.serving.quarantine.EngineCrash;
import org.clementineford.serving.quarantine.RequestQuarantine;
import org.clementineford.serving.quarantine.Suspect;
import org.clementineford.serving.quarantine.SuspectRecord;
import org.clementineford.wire.FleetDatagram;
import org.clementineford.wire.PromptCrash;
import org.clementineford.wire.SuspectRecords;

/**
 * Exchanges the records of a {@link RequestQuarantine} between VMs by gossip. New records are
 * pushed to random members for a short time, so that they reach hundreds of VMs within a second or
 * so. In addition, each entry VM compares digests with random members, so that one that has just
 * started, or was suspended or cut off, gets what it lacks. Endpoint VMs only answer; they keep the
 * records when all entry VMs restart. Not thread-safe.
 */
public final class QuarantineExchange {
  private static final long PUSH_INTERVAL_MS = 100;

  /** Time for which a changed record is pushed; any datagram may be lost. */
  private static final long PUSH_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Members that receive each push, as in common gossip protocols. */
  private static final int PUSH_MEMBERS = 3;

  private static final long COMPARE_INTERVAL_MS = 500;

  /** Members of each comparison; one may be unreachable. */
  private static final int COMPARE_MEMBERS = 2;

  /** Records in one datagram; one of a suspect in eight crashes takes about 200 bytes. */
  private static final int RECORDS_PER_DATAGRAM = 16;

  private final RequestQuarantine quarantine;
  private final Supplier<List<HostPort>> members;
  private final BiConsumer<HostPort, FleetDatagram> sender;
  private final NanoClock clock;
  private final DoubleSupplier random;
  private final Runnable onChange;

  /**
   * Creates an exchange that only answers until it is started.
   *
   * @param quarantine records to exchange
   * @param members addresses of the other VMs
   * @param sender sends a datagram to an address
   * @param clock the clock of {@code quarantine}
   * @param random random numbers of at least 0 and below 1
   * @param onChange called after records of another VM were added
   */
  public QuarantineExchange(
      RequestQuarantine quarantine,
      Supplier<List<HostPort>> members,
      BiConsumer<HostPort, FleetDatagram> sender,
      NanoClock clock,
      DoubleSupplier random,
      Runnable onChange) {
    this.quarantine = quarantine;
    this.members = members;
    this.sender = sender;
    this.clock = clock;
    this.random = random;
    this.onChange = onChange;
  }

  /**
   * Starts to push new records and to compare digests.
   *
   * @param scheduler runs timers on the thread that uses this object
   */
  public void start(Scheduler scheduler) {
    scheduler.scheduleWithFixedDelay(this::push, PUSH_INTERVAL_MS, TimeUnit.MILLISECONDS);
    scheduler.scheduleWithFixedDelay(this::compare, COMPARE_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void push() {
    List<SuspectRecord> changed = quarantine.recordsChangedSince(clock.nanoTime() - PUSH_NANOS);
    if (!changed.isEmpty()) {
      for (HostPort member : choose(PUSH_MEMBERS)) {
        send(member, changed, false);
      }
    }
  }

  private void compare() {
    for (HostPort member : choose(COMPARE_MEMBERS)) {
      send(member, List.of(), true);
    }
  }

  private List<HostPort> choose(int count) {
    List<HostPort> all = new ArrayList<>(members.get());
    List<HostPort> chosen = new ArrayList<>();
    while (chosen.size() < count && !all.isEmpty()) {
      chosen.add(all.remove((int) (random.getAsDouble() * all.size())));
    }
    return chosen;
  }

  private void send(HostPort member, List<SuspectRecord> records, boolean replyRequested) {
    int start = 0;
    do {
      int end = Math.min(records.size(), start + RECORDS_PER_DATAGRAM);
      SuspectRecords message =
          new SuspectRecords()
              .setDigest(quarantine.digest())
              .setRecords(records.subList(start, end).stream().map(this::encode).toList())
              .setReplyRequested(replyRequested && end == records.size());
      FleetDatagram datagram = new FleetDatagram();
      datagram.setSuspects(message);
      sender.accept(member, datagram);
      start = end;
    } while (start < records.size());
  }

  private org.clementineford.wire.SuspectRecord encode(SuspectRecord record) {
    org.clementineford.wire.SuspectRecord encoded =
        new org.clementineford.wire.SuspectRecord()
            .setServiceName(record.suspect().service())
            .setSuspect(record.suspect().id())
            .setWholeRequest(record.suspect().kind() == Suspect.Kind.REQUEST)
            .setCrashes(new ArrayList<>());
    for (EngineCrash crash : record.crashes()) {
      encoded.addToCrashes(
          new PromptCrash()
              .setEngine(crash.engine())
              .setRequest(crash.request())
              .setAgeMs(ageMs(crash.at())));
    }
    record.soundAt().ifPresent(at -> encoded.setSoundAgeMs(ageMs(at)));
    return encoded;
  }

  private long ageMs(long at) {
    return TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - at);
  }

  /**
   * Processes records of another VM.
   *
   * @param member address of the VM
   * @param message its message
   */
  public void onMessage(HostPort member, SuspectRecords message) {
    if (message.getRecordsSize() > 0) {
      quarantine.merge(message.getRecords().stream().map(this::decode).toList());
      onChange.run();
    }
    if (message.isReplyRequested() && message.getDigest() != quarantine.digest()) {
      // The first reply asks for the records that this VM lacks; the second one ends the exchange.
      send(member, quarantine.comparedRecords(), message.getRecordsSize() == 0);
    }
  }

  private SuspectRecord decode(org.clementineford.wire.SuspectRecord encoded) {
    List<EngineCrash> crashes = new ArrayList<>();
    for (PromptCrash crash : encoded.getCrashes()) {
      crashes.add(new EngineCrash(crash.getEngine(), crash.getRequest(), at(crash.getAgeMs())));
    }
    return new SuspectRecord(
        new Suspect(
            encoded.isWholeRequest() ? Suspect.Kind.REQUEST : Suspect.Kind.PROMPT_PART,
            encoded.getServiceName(),
            encoded.getSuspect()),
        crashes,
        encoded.isSetSoundAgeMs()
            ? OptionalLong.of(at(encoded.getSoundAgeMs()))
            : OptionalLong.empty());
  }

  private long at(long ageMs) {
    return clock.nanoTime() - TimeUnit.MILLISECONDS.toNanos(ageMs);
  }
}
