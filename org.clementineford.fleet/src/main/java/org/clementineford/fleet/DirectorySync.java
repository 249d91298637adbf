package org.clementineford.fleet;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.CompletionExceptions;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.serving.directory.DirectoryCopyState;
import org.clementineford.serving.directory.DirectoryEntries;
import org.clementineford.serving.directory.DirectoryEntry;
import org.clementineford.serving.directory.HistoryPosition;
import org.clementineford.serving.directory.ObjectDirectory;
import org.clementineford.serving.directory.ObjectKind;
import org.clementineford.serving.directory.PlatformHistory;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps local copies of platform objects current. A watched kind is listed once and then watched; a
 * polled kind is listed periodically. Not thread-safe: all calls must come from the thread on which
 * the futures of the directory complete.
 */
public final class DirectorySync {
  private static final Logger LOG = LoggerFactory.getLogger(DirectorySync.class);

  /** Delay before the retry after the first failed call, in milliseconds; doubles per failure. */
  private static final long FIRST_RETRY_DELAY_MS = 100;

  /**
   * Delay before a full listing when the platform no longer has the history, in milliseconds;
   * doubles until a watch succeeds.
   */
  private static final long RELIST_DELAY_MS = 50;

  /** Longest delay before a retry, in milliseconds. */
  private static final long MAX_RETRY_DELAY_MS = 800;

  /** Times that the delay before a change is reported again doubles, if each report fails. */
  private static final int MAX_REPORT_DOUBLINGS = 5;

  /** Shortest wait of a watch, in milliseconds. */
  private static final long MIN_WATCH_MS = 200;

  /** Time that the platform's answer to a watch may take after its wait, when it is slow. */
  private static final long SLOW_ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(350);

  /** Time by which a copy from a peer may be older than the peer's: two questions and a copy. */
  static final long FOLLOWER_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  private static final long EXPIRY_INTERVAL_MS = 100;

  /** Times that a VM writes its entry before the platform removes an entry that is not written. */
  private static final int HEARTBEATS_PER_EXPIRY = 3;

  /**
   * Time before its call for which a watch may have missed changes without notice. The platform may
   * withhold changes from its watches for up to a second before it drops its history.
   */
  private static final long WATCH_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(1_100);

  /**
   * Longest time without an answer that is taken for connections that went silent, and not for an
   * outage: the probe's interval, its timeout and another one of a call that follows it.
   */
  private static final long MAX_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(5_000);

  private final ObjectDirectory directory;
  private final Scheduler scheduler;
  private final NanoClock clock;
  private final long entryExpiryNanos;
  private final Consumer<ObjectKind> onChange;
  private final Runnable onRestored;
  private final Map<ObjectKind, KindSync> kinds = new EnumMap<>(ObjectKind.class);
  private final PlatformHistory history = new PlatformHistory();
  private boolean stopped;

  /** Time at which the platform last answered this VM or was proved by a peer to answer. */
  private long answeredAt;

  private boolean failedSinceAnswer;
  private SilenceProbe probe = SilenceProbe.NONE;

  /** Earliest time of the changes that are being reported; empty if they were reported at once. */
  private OptionalLong changesAfter = OptionalLong.empty();

  /**
   * Creates an object that does not read anything yet.
   *
   * @param directory the platform's object API
   * @param scheduler runs retries on the thread that uses this object
   * @param clock monotonic clock
   * @param entryExpiryMs time after which the platform removes the entry of a VM that no longer
   *     writes it, in milliseconds
   * @param onChange called with each kind whose entries changed, or are again as the platform shows
   *     them
   * @param onRestored called when the platform was restored from a copy, and so may have lost what
   *     this VM wrote
   */
  public DirectorySync(
      ObjectDirectory directory,
      Scheduler scheduler,
      NanoClock clock,
      long entryExpiryMs,
      Consumer<ObjectKind> onChange,
      Runnable onRestored) {
    this.directory = directory;
    this.entryExpiryNanos = TimeUnit.MILLISECONDS.toNanos(entryExpiryMs);
    this.scheduler = scheduler;
    this.clock = clock;
    this.onChange = onChange;
    this.onRestored = onRestored;
    this.answeredAt = clock.nanoTime();
  }

  /**
   * Lists a kind, then watches it for changes.
   *
   * @param kind the kind
   * @param waitMs time after which the copy is confirmed again, in milliseconds, and longest wait
   *     of a watch; a lost connection is detected after about this time
   * @param batchDelayMs delay before the next call after a change, in milliseconds, so that one
   *     call returns several changes
   */
  public void watch(ObjectKind kind, long waitMs, long batchDelayMs) {
    KindSync sync = new KindSync(kind, waitMs, batchDelayMs, true);
    kinds.put(kind, sync);
    sync.sendCall();
  }

  /**
   * Lists a kind periodically. The platform may return data that is seconds old.
   *
   * @param kind the kind
   * @param intervalMs time between two listings, in milliseconds
   */
  public void poll(ObjectKind kind, long intervalMs) {
    KindSync sync = new KindSync(kind, 0, intervalMs, false);
    kinds.put(kind, sync);
    sync.sendCall();
  }

  /**
   * Asks for a kind whenever the platform has not answered any call for a while, and replaces the
   * watches if it does not answer: connections that were open may have gone silent.
   *
   * @param kind a kind with few objects
   * @param silenceMs time without an answer after which to ask, in milliseconds
   */
  public void probe(ObjectKind kind, long silenceMs) {
    probe =
        new SilenceProbe(
            () -> directory.list(kind, false),
            TimeUnit.MILLISECONDS.toNanos(silenceMs),
            () -> answered(clock.nanoTime()),
            () -> kinds.values().forEach(sync -> sync.restartWatch(answeredAt)));
  }

  /**
   * Returns the earliest time at which the changes that are being reported may have been made. It
   * is in the past if they were found by a watch that replaced a silent one.
   *
   * @return monotonic nanoseconds
   */
  public long changesAfter() {
    return changesAfter.orElse(clock.nanoTime());
  }

  /**
   * Lists a polled kind now, unless a call for it is pending.
   *
   * @param kind a kind that is polled
   */
  public void refresh(ObjectKind kind) {
    kinds.get(kind).refresh();
  }

  /**
   * Ends or begins the watch of a kind. The copy of a suspended kind comes from peers; it is listed
   * only when the platform was restored.
   *
   * @param kind a kind that is watched
   * @param suspended true to end the watch
   */
  public void setSuspended(ObjectKind kind, boolean suspended) {
    kinds.get(kind).setSuspended(suspended);
  }

  /**
   * Returns the age that a copy of a kind has at most while its watch is answered.
   *
   * @param kind a kind that is watched
   * @return nanoseconds
   */
  public long maxAgeNanos(ObjectKind kind) {
    KindSync sync = kinds.get(kind);
    return TimeUnit.MILLISECONDS.toNanos(sync.waitMs + sync.batchDelayMs + MIN_WATCH_MS)
        + WATCH_LAG_NANOS
        + SLOW_ANSWER_NANOS;
  }

  /**
   * Returns the time for which calls for a kind have failed, one after the other.
   *
   * @param kind a kind that is watched
   * @return nanoseconds since the first failure after the last answer; 0 if there was none
   */
  public long failingNanos(ObjectKind kind) {
    OptionalLong since = kinds.get(kind).failingSince;
    return since.isPresent() ? clock.nanoTime() - since.getAsLong() : 0;
  }

  /** Starts to expire entries of VMs that do not register again after an outage. */
  public void start() {
    scheduler.scheduleWithFixedDelay(this::expire, EXPIRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void expire() {
    kinds.values().forEach(KindSync::expire);
    if (!stopped) {
      probe.checkSilence(clock.nanoTime() - answeredAt);
    }
  }

  /** Sends no further calls to the platform. */
  public void stop() {
    stopped = true;
  }

  /**
   * Returns the copy of a kind.
   *
   * @param kind a kind that is watched or polled
   * @return the live copy
   */
  public DirectoryCopyState copy(ObjectKind kind) {
    return kinds.get(kind).copy;
  }

  /**
   * Returns the kinds of which there are copies.
   *
   * @return kinds that are watched or polled
   */
  public List<ObjectKind> kinds() {
    return List.copyOf(kinds.keySet());
  }

  /**
   * Adds objects of a peer that operators versioned higher than those of the local copy.
   *
   * @param kind the kind
   * @param newer the objects, also of another era
   */
  public void addHigherVersions(ObjectKind kind, List<DirectoryEntry> newer) {
    KindSync sync = kinds.get(kind);
    if (sync != null && sync.copy.addHigherVersions(newer)) {
      DirectoryCopyLog.kept(kind, sync.copy, clock.nanoTime());
      sync.reportChange(OptionalLong.empty());
    }
  }

  /**
   * Replaces the local copy with a newer one from a peer, or records that the peer's copy proves
   * the local one current.
   *
   * @param kind the kind
   * @param position position of the peer's copy
   * @param entries the entries; null if the peer's copy is not newer than the local one
   * @param keptUntil times until which the peer keeps entries that the platform lacks, by name
   * @param provenAt time at which the peer's copy was last known to be current; a copy for which it
   *     is in the future is ignored
   */
  public void applyPeerCopy(
      ObjectKind kind,
      HistoryPosition position,
      List<DirectoryEntry> entries,
      Map<String, Long> keptUntil,
      long provenAt) {
    KindSync sync = kinds.get(kind);
    if (sync == null || !isOfCurrentEra(sync, position)) {
      return;
    }
    long now = clock.nanoTime();
    if (provenAt - now > 0) {
      // One such proof would make the copy current for good.
      LOG.atWarn()
          .addKeyValue("kind", kind)
          .addKeyValue("position", position.toText())
          .log("ignored the copy of a peer with a negative age");
      return;
    }
    if (sync.isOverdue(now) && now - provenAt <= maxAgeNanos(kind)) {
      outageEnded(now);
    }
    boolean changed =
        entries != null
            && sync.copy.replaceWithPeerCopy(entries, keptUntil, position, provenAt, now);
    sync.copy.confirmCurrent(position, provenAt);
    sync.listWhenSettled();
    if (changed) {
      DirectoryCopyLog.kept(kind, sync.copy, clock.nanoTime());
      LOG.atInfo()
          .addKeyValue("kind", kind)
          .addKeyValue("position", position.toText())
          .addKeyValue("ageMs", TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - provenAt))
          .log("replaced the copy of platform objects with a newer one from a peer");
      sync.reportChange(OptionalLong.empty());
    }
  }

  /**
   * Records an answer of the platform. Entries lapse in an outage only if it lasts longer than the
   * interval at which VMs write them; a shorter one, such as a single call that was cut off, is no
   * reason to keep what was removed.
   */
  private void answered(long now) {
    if (failedSinceAnswer && now - answeredAt >= entryExpiryNanos / HEARTBEATS_PER_EXPIRY) {
      outageEnded(now);
    }
    failedSinceAnswer = false;
    answeredAt = now;
  }

  private void outageEnded(long now) {
    LOG.info("outage of the platform ended; removed entries are kept for a while");
    kinds.values().forEach(sync -> sync.copy.outageEnded(now));
  }

  /** Reads the era of a peer's copy, and returns whether the copy may be used. */
  private boolean isOfCurrentEra(KindSync sync, HistoryPosition position) {
    long now = clock.nanoTime();
    OptionalLong era = position.era() == 0 ? OptionalLong.empty() : OptionalLong.of(position.era());
    PlatformHistory.Reading reading = history.read(era, false, now, now);
    if (reading == PlatformHistory.Reading.RESTORED) {
      restored(sync, position.revision());
    }
    return reading != PlatformHistory.Reading.OUTDATED;
  }

  /** Reads all watched kinds again, since the platform was restored from a copy. */
  private void restored(KindSync source, long revision) {
    DirectoryCopyLog.restored(
        source.kind, source.copy.position(), new HistoryPosition(history.era(), revision));
    kinds.values().stream().filter(other -> other != source).forEach(KindSync::restartListing);
    onRestored.run();
  }

  /** Copy of one kind, with the state of the calls that keep it current. */
  private final class KindSync {
    private final ObjectKind kind;
    private final long waitMs;
    private final long batchDelayMs;
    private final boolean watching;
    private final DirectoryCopyState copy;
    private boolean listNeeded = true;
    private boolean callPending;
    private long callCount;
    private Scheduler.Cancellable timer;
    private Scheduler.Cancellable settledTimer;
    private int failures;

    /** Time of the first failure after the last answer. */
    private OptionalLong failingSince = OptionalLong.empty();

    private int relists;
    private boolean suspended;
    private int failedReports;

    /** Repeats a report that failed; null if the last one did not fail. */
    private Scheduler.Cancellable reportTimer;

    /** Time of the last answer before the watch was replaced; empty if it was not. */
    private OptionalLong interruptedAt = OptionalLong.empty();

    /** Time up to which the last answer was current, apart from changes that are withheld. */
    private long confirmedAt;

    KindSync(ObjectKind kind, long waitMs, long batchDelayMs, boolean watching) {
      this.batchDelayMs = batchDelayMs;
      this.kind = kind;
      this.copy = new DirectoryCopyState(kind, entryExpiryNanos);
      this.waitMs = waitMs;
      this.watching = watching;
    }

    /** Sends a call, unless one is pending. */
    void refresh() {
      if (!callPending) {
        sendCall();
      }
    }

    /** Replaces a pending watch, which the platform may have dropped during an outage. */
    void restartWatch(long lastAnswerAt) {
      if (watching && callPending) {
        if (interruptedAt.isEmpty()) {
          interruptedAt = OptionalLong.of(lastAnswerAt);
        }
        sendCall();
      }
    }

    /** Lists a watched kind, and ignores the answer to a pending call. */
    void restartListing() {
      if (watching) {
        listNeeded = true;
        sendCall();
      }
    }

    void setSuspended(boolean suspended) {
      this.suspended = suspended;
      if (suspended) {
        // Peers prove the copy from now on; earlier failures tell nothing of a later outage.
        failedSinceAnswer = false;
        failingSince = OptionalLong.empty();
        callCount++;
        callPending = false;
        cancelTimer();
      } else {
        long now = clock.nanoTime();
        if (copy.isProven() && now - copy.ageNanos(now) - answeredAt > 0) {
          answeredAt = now - copy.ageNanos(now);
        }
        refresh();
      }
    }

    /** Returns whether neither the platform nor a peer confirmed the copy when it was due. */
    boolean isOverdue(long now) {
      return watching
          && copy.isProven()
          && copy.ageNanos(now) > maxAgeNanos(kind) + FOLLOWER_LAG_NANOS;
    }

    private void cancelTimer() {
      if (timer != null) {
        timer.cancel();
      }
    }

    void sendCall() {
      if (stopped || (suspended && !listNeeded)) {
        return;
      }
      callPending = true;
      callCount++;
      final long call = callCount;
      final long sentAt = clock.nanoTime();
      final boolean list = listNeeded || !watching;
      final long callWaitMs = callWaitMs(sentAt);
      final long copyEra = copy.position().era();
      // A call that throws fails the future too, or no other one would ever be sent.
      var result =
          CompletableFuture.completedFuture(kind)
              .thenCompose(
                  wanted ->
                      list
                          ? directory.list(wanted, watching)
                          : directory.watch(wanted, copy.position().revision(), callWaitMs));
      result.whenComplete(
          (listing, failure) -> {
            if (call != callCount) {
              // A newer call has replaced this one.
              return;
            }
            callPending = false;
            if (failure != null) {
              failed(failure);
              return;
            }
            try {
              succeeded(list, listing, sentAt, callWaitMs, copyEra);
            } catch (RuntimeException | Error e) {
              LOG.atError()
                  .addKeyValue("kind", kind)
                  .log("failed to process platform objects; reading on", e);
              scheduleCall(MAX_RETRY_DELAY_MS);
            }
          });
    }

    /** Returns the wait after which the copy has to be confirmed again. */
    private long callWaitMs(long now) {
      long sinceMs = TimeUnit.NANOSECONDS.toMillis(now - confirmedAt);
      return Math.max(Math.min(MIN_WATCH_MS, waitMs), Math.min(waitMs, waitMs - sinceMs));
    }

    private void succeeded(
        boolean list, DirectoryEntries listing, long sentAt, long callWaitMs, long copyEra) {
      long now = clock.nanoTime();
      long answeredBefore = answeredAt;
      answered(now);
      failingSince = OptionalLong.empty();
      if (failures > 0) {
        LOG.atInfo().addKeyValue("kind", kind).log("platform reached again");
        failures = 0;
        kinds.values().stream()
            .filter(other -> other != this)
            .forEach(other -> other.restartWatch(answeredBefore));
      }
      switch (history.read(listing.era(), watching, sentAt, now)) {
        case OUTDATED -> {
          DirectoryCopyLog.ignored(kind, listing);
          listNeeded = true;
          scheduleCall(MAX_RETRY_DELAY_MS);
          return;
        }
        case RESTORED -> restored(this, listing.revision());
        default -> {}
      }
      if (!list && copyEra != history.era()) {
        // The watch continued from a revision of the era before.
        listNeeded = true;
        sendCall();
        return;
      }
      boolean changed;
      if (list) {
        HistoryPosition position = new HistoryPosition(history.era(), listing.revision());
        changed = copy.replace(listing.entries(), position, sentAt, now);
        listNeeded = false;
        confirmedAt = sentAt;
        DirectoryCopyLog.kept(kind, copy, now);
        listWhenSettled();
      } else {
        relists = 0;
        confirmedAt = confirmedAt(listing, sentAt, callWaitMs, now);
        long provenAt = confirmedAt - WATCH_LAG_NANOS;
        changed = copy.apply(listing.entries(), listing.revision(), provenAt, now);
        if (listing.entries().stream().anyMatch(DirectoryEntry::removed)) {
          DirectoryCopyLog.kept(kind, copy, now);
        }
      }
      if (changed) {
        LOG.atInfo()
            .addKeyValue("kind", kind)
            .addKeyValue("position", copy.position().toText())
            .log("copy of platform objects changed");
        reportChange(changesAfter(sentAt, now));
      }
      interruptedAt = OptionalLong.empty();
      if (watching && (!changed || batchDelayMs == 0)) {
        sendCall();
      } else {
        scheduleCall(batchDelayMs);
      }
    }

    /**
     * Returns the time up to which the platform reported all changes. An answer without changes was
     * given after the whole wait; any other, at an unknown time after the call.
     */
    private long confirmedAt(DirectoryEntries answer, long sentAt, long callWaitMs, long now) {
      long waitNanos = TimeUnit.MILLISECONDS.toNanos(callWaitMs);
      return answer.entries().isEmpty() && now - sentAt >= waitNanos ? sentAt + waitNanos : sentAt;
    }

    /**
     * Returns the time of the last answer before this one if the changes may be as old: a watch
     * that replaces a silent one reports at once what the silent one would have.
     */
    private OptionalLong changesAfter(long sentAt, long now) {
      boolean atOnce = now - sentAt <= WATCH_LAG_NANOS;
      return interruptedAt.isPresent()
              && atOnce
              && now - interruptedAt.getAsLong() <= MAX_SILENCE_NANOS
          ? interruptedAt
          : OptionalLong.empty();
    }

    /** Lists again as soon as the answer proves the copy current. */
    private void listWhenSettled() {
      long settlingNanos = copy.settlingNanos(clock.nanoTime());
      if (watching && settlingNanos > 0) {
        if (settledTimer != null) {
          settledTimer.cancel();
        }
        settledTimer =
            scheduler.schedule(this::restartListing, settlingNanos, TimeUnit.NANOSECONDS);
      }
    }

    private void scheduleCall(long delayMs) {
      cancelTimer();
      timer = scheduler.schedule(this::refresh, delayMs, TimeUnit.MILLISECONDS);
    }

    private void failed(Throwable wrapped) {
      Throwable failure = CompletionExceptions.unwrap(wrapped);
      if (failure instanceof ClementinefordException known && known.kind() == ErrorKind.NOT_FOUND) {
        LOG.atInfo()
            .addKeyValue("kind", kind)
            .log("the platform dropped the history that the watch needs; listing all objects");
        listNeeded = true;
        scheduleCall(Math.min(MAX_RETRY_DELAY_MS, RELIST_DELAY_MS << Math.min(relists, 4)));
        relists++;
        return;
      }
      if (failures == 0) {
        LOG.atWarn()
            .addKeyValue("kind", kind)
            .addKeyValue("reason", failure.getMessage())
            .log("platform not reached");
      }
      if (failingSince.isEmpty()) {
        failingSince = OptionalLong.of(clock.nanoTime());
      }
      // A follower calls too seldom to tell an outage from a call that was cut off.
      failedSinceAnswer |= watching && !suspended;
      long delay = Math.min(MAX_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS << Math.min(failures, 3));
      failures++;
      scheduleCall(delay);
    }

    void expire() {
      if (copy.expire(clock.nanoTime())) {
        LOG.atInfo()
            .addKeyValue("kind", kind)
            .log("entries changed at the end of the time to register again after an outage");
        reportChange(OptionalLong.empty());
      }
    }

    /**
     * Reports a change of the copy. The copy has the change already, so no later answer shows it
     * again: a report that fails is repeated, with the time of the first one.
     */
    void reportChange(OptionalLong after) {
      if (reportTimer != null) {
        reportTimer.cancel();
        reportTimer = null;
      }
      long firstAt = clock.nanoTime();
      changesAfter = after;
      try {
        onChange.accept(kind);
        failedReports = 0;
      } catch (RuntimeException | Error e) {
        long delay = MAX_RETRY_DELAY_MS << Math.min(failedReports, MAX_REPORT_DOUBLINGS);
        failedReports++;
        LOG.atError()
            .addKeyValue("kind", kind)
            .addKeyValue("retryMs", delay)
            .log("failed to process platform objects; reading on, and processing them again", e);
        OptionalLong earliest = OptionalLong.of(after.orElse(firstAt));
        reportTimer =
            scheduler.schedule(() -> reportChange(earliest), delay, TimeUnit.MILLISECONDS);
      } finally {
        changesAfter = OptionalLong.empty();
      }
    }
  }
}
