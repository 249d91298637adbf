package org.clementineford.fleet;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
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
import org.clementineford.serving.directory.ObjectDirectory;
import org.clementineford.serving.directory.ObjectKind;
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

  /** Delay before a full listing when the platform no longer has the history, in milliseconds. */
  private static final long RELIST_DELAY_MS = 50;

  /** Longest delay before a retry, in milliseconds. */
  private static final long MAX_RETRY_DELAY_MS = 800;

  /**
   * Time after the end of an outage in which a removed entry may belong to a VM that has yet to
   * register again.
   */
  private static final long REREGISTRATION_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  private static final long EXPIRY_INTERVAL_MS = 100;

  /**
   * Time before its call for which a watch may have missed changes without notice. The platform may
   * withhold changes from its watches for up to a second before it drops its history.
   */
  private static final long WATCH_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(1_100);

  private final ObjectDirectory directory;
  private final Scheduler scheduler;
  private final NanoClock clock;
  private final Consumer<ObjectKind> onChange;
  private final Map<ObjectKind, KindSync> kinds = new EnumMap<>(ObjectKind.class);
  private boolean stopped;

  /**
   * Creates an object that does not read anything yet.
   *
   * @param directory the platform's object API
   * @param scheduler runs retries on the thread that uses this object
   * @param clock monotonic clock
   * @param onChange called with each kind whose entries changed
   */
  public DirectorySync(
      ObjectDirectory directory,
      Scheduler scheduler,
      NanoClock clock,
      Consumer<ObjectKind> onChange) {
    this.directory = directory;
    this.scheduler = scheduler;
    this.clock = clock;
    this.onChange = onChange;
  }

  /**
   * Lists a kind, then watches it for changes.
   *
   * @param kind the kind
   * @param waitMs longest wait of a watch, in milliseconds; a lost connection is detected after
   *     about this time
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
   * Lists a polled kind now, unless a call for it is pending.
   *
   * @param kind a kind that is polled
   */
  public void refresh(ObjectKind kind) {
    kinds.get(kind).refresh();
  }

  /** Starts to expire entries of VMs that do not register again after an outage. */
  public void start() {
    scheduler.scheduleWithFixedDelay(this::expire, EXPIRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void expire() {
    kinds.values().forEach(KindSync::expire);
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
   * Replaces the local copy with a newer one from a peer, or records that the peer's copy proves
   * the local one current.
   *
   * @param kind the kind
   * @param revision revision of the peer's copy
   * @param entries the entries; null if the peer's copy is not newer than the local one
   * @param provenAt time at which the peer's copy was last known to be current
   */
  public void applyPeerCopy(
      ObjectKind kind, long revision, List<DirectoryEntry> entries, long provenAt) {
    KindSync sync = kinds.get(kind);
    if (sync == null) {
      return;
    }
    if (entries == null) {
      sync.copy.confirmCurrent(revision, provenAt);
    } else if (sync.copy.replace(entries, revision, provenAt, false, clock.nanoTime())) {
      LOG.atInfo()
          .addKeyValue("kind", kind)
          .addKeyValue("revision", revision)
          .addKeyValue("ageMs", TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - provenAt))
          .log("replaced the copy of platform objects with a newer one from a peer");
      onChange.accept(kind);
    }
  }

  /** Copy of one kind, with the state of the calls that keep it current. */
  private final class KindSync {
    private final ObjectKind kind;
    private final long waitMs;
    private final long batchDelayMs;
    private final boolean watching;
    private final DirectoryCopyState copy = new DirectoryCopyState();
    private boolean listNeeded = true;
    private boolean callPending;
    private long callCount;
    private Scheduler.Cancellable timer;
    private int failures;
    private boolean outageEnded;
    private long outageEndedAt;
    private OptionalLong era = OptionalLong.empty();

    KindSync(ObjectKind kind, long waitMs, long batchDelayMs, boolean watching) {
      this.batchDelayMs = batchDelayMs;
      this.kind = kind;
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
    void restartWatch() {
      if (watching && callPending) {
        sendCall();
      }
    }

    void sendCall() {
      if (stopped) {
        return;
      }
      callPending = true;
      callCount++;
      final long call = callCount;
      final long sentAt = clock.nanoTime();
      boolean list = listNeeded || !watching;
      var result =
          list ? directory.list(kind, watching) : directory.watch(kind, copy.revision(), waitMs);
      result.whenComplete(
          (listing, failure) -> {
            if (call != callCount) {
              // A newer call has replaced this one.
              return;
            }
            callPending = false;
            if (failure == null) {
              succeeded(list, listing, sentAt);
            } else {
              failed(failure);
            }
          });
    }

    private void succeeded(boolean list, DirectoryEntries listing, long sentAt) {
      long now = clock.nanoTime();
      if (failures > 0) {
        LOG.atInfo().addKeyValue("kind", kind).log("platform reached again");
        outageEnded = true;
        outageEndedAt = now;
        failures = 0;
        kinds.values().stream().filter(other -> other != this).forEach(KindSync::restartWatch);
      }
      boolean afterOutage = outageEnded && now - outageEndedAt < REREGISTRATION_NANOS;
      boolean changed;
      if (listing.era().isPresent() && !listing.era().equals(era)) {
        LOG.atInfo()
            .addKeyValue("kind", kind)
            .addKeyValue("eraBefore", era.orElse(-1))
            .addKeyValue("era", listing.era().getAsLong())
            .addKeyValue("revisionBefore", copy.revision())
            .addKeyValue("revision", listing.revision())
            .log("the platform answers from another era of its history");
        era = listing.era();
      }
      if (list && listing.revision() < copy.revision()) {
        LOG.atWarn()
            .addKeyValue("kind", kind)
            .addKeyValue("revision", listing.revision())
            .addKeyValue("copyRevision", copy.revision())
            .log("ignored a listing below the revision of the copy");
      }
      if (list) {
        changed = copy.replace(listing.entries(), listing.revision(), sentAt, afterOutage, now);
        listNeeded = false;
      } else {
        long provenAt = sentAt - WATCH_LAG_NANOS;
        changed = copy.apply(listing.entries(), listing.revision(), provenAt, afterOutage, now);
      }
      if (changed) {
        LOG.atInfo()
            .addKeyValue("kind", kind)
            .addKeyValue("revision", copy.revision())
            .log("copy of platform objects changed");
        onChange.accept(kind);
      }
      if (watching && (!changed || batchDelayMs == 0)) {
        sendCall();
      } else {
        scheduleCall(batchDelayMs);
      }
    }

    private void scheduleCall(long delayMs) {
      if (timer != null) {
        timer.cancel();
      }
      timer = scheduler.schedule(this::refresh, delayMs, TimeUnit.MILLISECONDS);
    }

    private void failed(Throwable wrapped) {
      Throwable failure = CompletionExceptions.unwrap(wrapped);
      if (failure instanceof ClementinefordException known && known.kind() == ErrorKind.NOT_FOUND) {
        LOG.atInfo()
            .addKeyValue("kind", kind)
            .log("the platform dropped the history that the watch needs; listing all objects");
        listNeeded = true;
        scheduleCall(RELIST_DELAY_MS);
        return;
      }
      if (failures == 0) {
        LOG.atWarn()
            .addKeyValue("kind", kind)
            .addKeyValue("reason", failure.getMessage())
            .log("platform not reached");
      }
      long delay = Math.min(MAX_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS << Math.min(failures, 3));
      failures++;
      scheduleCall(delay);
    }

    void expire() {
      if (copy.expire(clock.nanoTime())) {
        LOG.atInfo()
            .addKeyValue("kind", kind)
            .log("dropped entries that did not register again after a platform outage");
        onChange.accept(kind);
      }
    }
  }
}
