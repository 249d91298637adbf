package org.clementineford.serving.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.Fingerprint;
import org.clementineford.serving.quarantine.Interruptions.Interruption;

/**
 * Decides which requests no endpoint receives, since endpoints crash when they run them: repeats of
 * one request, or requests with one part in their prompts. Such a request is known as a query of
 * death.
 *
 * <p>Every request that an endpoint held when it crashed is a suspect, and so is every part of its
 * prompt, unless the endpoint had been writing the answer for a while. What an endpoint answers is
 * sound, and crashes before that no longer count against it. Times are monotonic nanoseconds. Not
 * thread-safe.
 */
public final class RequestQuarantine {
  /** Time after the last crash for which a suspect stays in quarantine. */
  private static final long QUARANTINE_NANOS = TimeUnit.MINUTES.toNanos(10);

  /**
   * Time after the last crash for which a suspect is remembered. One that leaves quarantine returns
   * to it with its next crash.
   */
  private static final long MEMORY_NANOS = TimeUnit.MINUTES.toNanos(60);

  /**
   * Time for which a sound answer clears a part of a crash. A part that many requests share is
   * answered more often than that, so that it is not a suspect when several engines crash at once.
   */
  private static final long SOUND_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Time for which it is remembered, for other VMs, that a suspect was cleared of its crashes. */
  private static final long CLEARED_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Largest number of suspects for which crashes are remembered. */
  private static final int MAX_RECORDS = 256;

  /** Largest number of sound suspects that are remembered. */
  private static final int MAX_SOUND_PARTS = 4_096;

  /**
   * Time after the last crash for which a request is remembered that is not blamed. Many requests
   * are in one crash by chance.
   */
  private static final long UNBLAMED_REQUEST_NANOS = TimeUnit.MINUTES.toNanos(2);

  /** Largest number of crashes that are remembered of a suspect. */
  private static final int MAX_CRASHES = 8;

  private final NanoClock clock;
  private final Map<Suspect, TreeMap<Long, EngineCrash>> crashes = new LinkedHashMap<>();
  private final Map<Suspect, Long> changedAt = new HashMap<>();
  private final Map<Suspect, Long> soundAt = new BoundedMap<>(MAX_SOUND_PARTS);
  private final Interruptions interruptions = new Interruptions();
  private final RequestTargets requestTargets = new RequestTargets();
  private Set<Suspect> blamed = Set.of();

  /**
   * Creates a quarantine without parts.
   *
   * @param clock monotonic clock that counts the time for which this VM was suspended, since other
   *     VMs learn the ages of crashes
   */
  public RequestQuarantine(NanoClock clock) {
    this.clock = clock;
  }

  /**
   * Records that an endpoint has answered a request, or has been writing the answer for long enough
   * to show that the request does not crash it.
   *
   * @param suspects what the request might be recognized by
   */
  public void answered(List<Suspect> suspects) {
    long now = clock.nanoTime();
    boolean cleared = false;
    for (Suspect part : suspects) {
      cleared |= soundSince(part, now, now);
    }
    if (cleared) {
      updateBlamed(now);
    }
  }

  /** Clears a part of the crashes up to a time, and returns whether there were any. */
  private boolean soundSince(Suspect part, long at, long now) {
    soundAt.merge(part, at, Math::max);
    TreeMap<Long, EngineCrash> known = crashes.get(part);
    if (known == null || !known.values().removeIf(crash -> crash.at() - at <= 0)) {
      return false;
    }
    changedAt.put(part, now);
    return true;
  }

  /**
   * Records that a connection ended while an endpoint held a request. It counts against what the
   * request is recognized by if the endpoint turns out to have crashed.
   *
   * @param engineName ID and incarnation of the engine
   * @param requestId ID of the request
   * @param held what the request may be recognized by
   */
  public void interrupted(String engineName, String requestId, List<Suspect> held) {
    long now = clock.nanoTime();
    List<Suspect> suspects = held.stream().filter(suspect -> !isSound(suspect, now)).toList();
    if (suspects.isEmpty()) {
      return;
    }
    requestTargets.remember(suspects);
    long engine = Fingerprint.of(engineName);
    Interruption interruption = new Interruption(Fingerprint.of(requestId), suspects, now);
    if (!interruptions.addUnlessCrashed(engine, interruption)) {
      addCrash(engine, interruption, now);
      updateBlamed(now);
    }
  }

  /**
   * Returns whether any request is a suspect.
   *
   * @return false if no request needs to be compared with suspects
   */
  public boolean hasRequestSuspects() {
    return !requestTargets.isEmpty();
  }

  /**
   * Returns whether a request of a target and caller may be a suspect, depending on its body.
   *
   * @param target digest of the target and the caller
   * @return false if it is none
   */
  public boolean mayBeSuspect(String target) {
    return requestTargets.contains(target);
  }

  private boolean isSound(Suspect part, long now) {
    Long at = soundAt.get(part);
    return at != null && now - at <= SOUND_NANOS;
  }

  /**
   * Records that an engine has crashed or stopped.
   *
   * @param engineName ID and incarnation of the engine
   */
  public void crashed(String engineName) {
    long now = clock.nanoTime();
    if (crashed(Fingerprint.of(engineName), now)) {
      updateBlamed(now);
    }
  }

  /** Counts the crash of an engine against what it held, and returns whether it held anything. */
  private boolean crashed(long engine, long now) {
    List<Interruption> interrupted = interruptions.confirm(engine, now);
    interrupted.forEach(interruption -> addCrash(engine, interruption, now));
    return !interrupted.isEmpty();
  }

  private void addCrash(long engine, Interruption interruption, long now) {
    for (Suspect part : interruption.parts()) {
      addCrash(part, new EngineCrash(engine, interruption.request(), interruption.at()), now);
    }
  }

  /** Adds a crash in a way that leads to the same records on all VMs, whatever the order. */
  private void addCrash(Suspect part, EngineCrash crash, long now) {
    Long sound = soundAt.get(part);
    if (sound != null && crash.at() - sound <= 0) {
      // Peers that lack the sound answer learn of it with the changed record.
      changedAt.put(part, now);
      return;
    }
    if (!crashes.containsKey(part)
        && crashes.size() >= MAX_RECORDS
        && !removeWeakest(Suspect.Kind.REQUEST)
        && !removeWeakest(Suspect.Kind.PROMPT_PART)) {
      return;
    }
    requestTargets.remember(List.of(part));
    TreeMap<Long, EngineCrash> known = crashes.computeIfAbsent(part, key -> new TreeMap<>());
    EngineCrash previous = known.get(crash.engine());
    if (previous != null && previous.request() <= crash.request()) {
      return;
    }
    known.put(crash.engine(), crash);
    if (known.size() > MAX_CRASHES) {
      long dropped = known.lastKey();
      known.remove(dropped);
      if (dropped == crash.engine()) {
        return;
      }
    }
    changedAt.put(part, now);
  }

  /** Forgets the oldest suspect of a kind that was in a single crash; returns whether it did. */
  private boolean removeWeakest(Suspect.Kind kind) {
    for (Map.Entry<Suspect, TreeMap<Long, EngineCrash>> entry : crashes.entrySet()) {
      if (entry.getKey().kind() == kind && entry.getValue().size() <= 1) {
        forget(entry.getKey());
        return true;
      }
    }
    return false;
  }

  private void forget(Suspect part) {
    crashes.remove(part);
    changedAt.remove(part);
  }

  private void updateBlamed(long now) {
    Set<Suspect> outdated = new HashSet<>();
    changedAt.forEach(
        (part, at) -> {
          boolean isCleared = crashes(part).isEmpty();
          if (isCleared ? now - at > CLEARED_NANOS : now - lastCrashAt(part) > memoryNanos(part)) {
            outdated.add(part);
          }
        });
    outdated.forEach(this::forget);
    blamed = CrashSuspects.blamed(records());
  }

  private long memoryNanos(Suspect suspect) {
    return suspect.kind() == Suspect.Kind.REQUEST && !blamed.contains(suspect)
        ? UNBLAMED_REQUEST_NANOS
        : MEMORY_NANOS;
  }

  private long lastCrashAt(Suspect part) {
    return crashes(part).stream().mapToLong(EngineCrash::at).max().orElseThrow();
  }

  private Collection<EngineCrash> crashes(Suspect part) {
    TreeMap<Long, EngineCrash> known = crashes.get(part);
    return known == null ? List.of() : known.values();
  }

  /**
   * Returns the first of some suspects that is in quarantine.
   *
   * @param suspects what a request may be recognized by
   * @return the suspect; empty if the request may be sent
   */
  public Optional<Suspect> quarantinedSuspect(List<Suspect> suspects) {
    if (blamed.isEmpty()) {
      return Optional.empty();
    }
    long now = clock.nanoTime();
    return suspects.stream()
        .filter(blamed::contains)
        .filter(suspect -> remainingNanos(suspect, now) > 0)
        .findFirst();
  }

  private long remainingNanos(Suspect part, long now) {
    return QUARANTINE_NANOS - (now - lastCrashAt(part));
  }

  /**
   * Returns the time until a suspect may leave quarantine.
   *
   * @param suspect a suspect in quarantine
   * @return time in nanoseconds
   */
  public long remainingNanos(Suspect suspect) {
    return Math.max(0, remainingNanos(suspect, clock.nanoTime()));
  }

  /**
   * Returns the parts in quarantine.
   *
   * @return the parts, in no particular order
   */
  public Set<Suspect> quarantined() {
    long now = clock.nanoTime();
    Set<Suspect> parts = new HashSet<>(blamed);
    parts.removeIf(part -> remainingNanos(part, now) <= 0);
    return parts;
  }

  /**
   * Returns the times since the crashes that count against a part.
   *
   * @param part the part
   * @return times in milliseconds
   */
  public List<Long> crashAgesMs(Suspect part) {
    long now = clock.nanoTime();
    return crashes(part).stream()
        .map(crash -> TimeUnit.NANOSECONDS.toMillis(now - crash.at()))
        .toList();
  }

  /**
   * Returns whether a request that lost its engine should not be sent to another one, since a part
   * of its prompt was in the requests of two engines that crashed or lost their connections.
   *
   * @param suspects what the request may be recognized by
   * @return true if another attempt may well crash another engine
   */
  public boolean isSuspect(List<Suspect> suspects) {
    long now = clock.nanoTime();
    return suspects.stream().anyMatch(part -> !isSound(part, now) && lostEngines(part, now) >= 2);
  }

  private int lostEngines(Suspect part, long now) {
    Set<Long> engines = interruptions.engines(part, now);
    crashes(part).forEach(crash -> engines.add(crash.engine()));
    return engines.size();
  }

  private List<SuspectRecord> records() {
    return crashes.keySet().stream().map(this::record).toList();
  }

  /**
   * Returns the records that VMs compare. Requests in a single crash are told only when they
   * change: most are in it by chance, and VMs forget them at different times.
   *
   * @return records of suspects
   */
  public List<SuspectRecord> comparedRecords() {
    return crashes.keySet().stream().filter(this::isCompared).map(this::record).toList();
  }

  private boolean isCompared(Suspect suspect) {
    return suspect.kind() != Suspect.Kind.REQUEST || crashes.get(suspect).size() > 1;
  }

  /**
   * Returns the records that changed recently.
   *
   * @param since time in monotonic nanoseconds
   * @return records that changed since then; those without crashes tell that a part is sound
   */
  public List<SuspectRecord> recordsChangedSince(long since) {
    List<SuspectRecord> records = new ArrayList<>();
    changedAt.forEach(
        (part, at) -> {
          if (at - since >= 0) {
            records.add(record(part));
          }
        });
    return records;
  }

  private SuspectRecord record(Suspect part) {
    Long sound = soundAt.get(part);
    return new SuspectRecord(
        part,
        List.copyOf(crashes(part)),
        sound == null ? OptionalLong.empty() : OptionalLong.of(sound));
  }

  /**
   * Adds records of another VM.
   *
   * @param records the records, with times of this VM's clock
   */
  public void merge(List<SuspectRecord> records) {
    long now = clock.nanoTime();
    for (SuspectRecord record : records) {
      if (record.soundAt().isPresent()) {
        soundSince(record.suspect(), record.soundAt().getAsLong(), now);
      }
      for (EngineCrash crash : record.crashes()) {
        addCrash(record.suspect(), crash, now);
        crashed(crash.engine(), now);
      }
    }
    updateBlamed(now);
  }

  /**
   * Returns a number that differs between VMs, except by chance, if the records do that they
   * compare.
   *
   * @return the number; 0 without records
   */
  public long digest() {
    long digest = 0;
    for (Map.Entry<Suspect, TreeMap<Long, EngineCrash>> entry : crashes.entrySet()) {
      if (!isCompared(entry.getKey())) {
        continue;
      }
      long part = 31L * entry.getKey().service().hashCode() + entry.getKey().id().hashCode();
      for (EngineCrash crash : entry.getValue().values()) {
        digest += (part ^ crash.engine()) * 0x9E3779B97F4A7C15L + crash.request();
      }
    }
    return digest;
  }
}
