package org.clementineford.fleet;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.Failures;
import org.clementineford.serving.directory.DirectoryCopyState;
import org.clementineford.serving.directory.Listing;
import org.clementineford.serving.directory.ObjectDirectory;
import org.clementineford.serving.directory.ObjectKind;
import org.clementineford.serving.directory.StoredEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps copies of platform objects current: lists each kind once, then watches it. Used by one
 * thread, the one on which the directory's futures complete.
 */
public final class DirectorySync {
  private static final Logger LOG = LoggerFactory.getLogger(DirectorySync.class);

  /** First and longest pause after a failed call, in milliseconds. */
  private static final long FIRST_PAUSE_MS = 100;

  /** Pause before a listing after the history was lost, in milliseconds. */
  private static final long LISTING_PAUSE_MS = 50;

  private static final long LONGEST_PAUSE_MS = 800;

  /** How long after an outage removed entries may only be late to register again. */
  private static final long RETURN_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  private static final long EXPIRY_INTERVAL_MS = 100;

  /**
   * How long before its answer a watch may have missed changes without notice. The platform may
   * keep changes from its watches for a second before it drops its history.
   */
  private static final long WATCH_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(1_100);

  private final ObjectDirectory directory;
  private final Scheduler scheduler;
  private final NanoClock clock;
  private final Consumer<ObjectKind> onChange;
  private final Map<ObjectKind, KindSync> kinds = new EnumMap<>(ObjectKind.class);
  private boolean stopped;

  /**
   * Creates copies that are not yet read.
   *
   * @param directory the platform's objects
   * @param scheduler runs retries on the thread of this object
   * @param clock monotonic clock
   * @param onChange told of each kind whose entries changed
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
   * Lists a kind and watches it from then on.
   *
   * @param kind the kind
   * @param waitMs longest wait of a watch; a lost connection is noticed about this late
   * @param restMs pause after a change, in which further changes gather for one call
   */
  public void watch(ObjectKind kind, long waitMs, long restMs) {
    KindSync sync = new KindSync(kind, waitMs, restMs, true);
    kinds.put(kind, sync);
    sync.next();
  }

  /**
   * Lists a kind again and again; the copy may be seconds old.
   *
   * @param kind the kind
   * @param intervalMs time between two listings
   */
  public void poll(ObjectKind kind, long intervalMs) {
    KindSync sync = new KindSync(kind, 0, intervalMs, false);
    kinds.put(kind, sync);
    sync.next();
  }

  /**
   * Reads a polled kind now, unless a call is on its way.
   *
   * @param kind a kind that is polled
   */
  public void refresh(ObjectKind kind) {
    kinds.get(kind).refresh();
  }

  /** Starts the expiry of entries that do not return after an outage. */
  public void start() {
    scheduler.scheduleEvery(this::expire, EXPIRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void expire() {
    kinds.values().forEach(KindSync::expire);
  }

  /** Stops reading. */
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
   * Returns the kinds that are kept.
   *
   * @return kinds that are watched or polled
   */
  public List<ObjectKind> kinds() {
    return List.copyOf(kinds.keySet());
  }

  /**
   * Takes in a peer's copy.
   *
   * @param kind the kind
   * @param revision revision of the peer's copy
   * @param entries the entries; null if the peer's copy is not newer than this one
   * @param provenAt time at which the peer's copy was certainly current
   */
  public void fromPeer(ObjectKind kind, long revision, List<StoredEntry> entries, long provenAt) {
    KindSync sync = kinds.get(kind);
    if (sync == null) {
      return;
    }
    if (entries == null) {
      sync.copy.proveCurrent(revision, provenAt);
    } else if (sync.copy.replace(entries, revision, provenAt, false, clock.nanoTime())) {
      LOG.atInfo()
          .addKeyValue("kind", kind)
          .addKeyValue("revision", revision)
          .addKeyValue("ageMs", TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - provenAt))
          .log("copy taken from a peer");
      onChange.accept(kind);
    }
  }

  private final class KindSync {
    private final ObjectKind kind;
    private final long waitMs;
    private final long restMs;
    private final boolean watching;
    private final DirectoryCopyState copy = new DirectoryCopyState();
    private boolean listNeeded = true;
    private boolean calling;
    private long calls;
    private Scheduler.Cancellable timer;
    private int failures;
    private boolean returned;
    private long returnedAt;

    KindSync(ObjectKind kind, long waitMs, long restMs, boolean watching) {
      this.restMs = restMs;
      this.kind = kind;
      this.waitMs = waitMs;
      this.watching = watching;
    }

    void refresh() {
      if (!calling) {
        next();
      }
    }

    /** Calls again if a watch waits; a platform that was away may have forgotten it. */
    void renew() {
      if (watching && calling) {
        next();
      }
    }

    void next() {
      if (stopped) {
        return;
      }
      calling = true;
      calls++;
      final long number = calls;
      final long sentAt = clock.nanoTime();
      boolean list = listNeeded || !watching;
      var call =
          list ? directory.list(kind, watching) : directory.watch(kind, copy.revision(), waitMs);
      call.whenComplete(
          (listing, failure) -> {
            if (number != calls) {
              return;
            }
            calling = false;
            if (failure == null) {
              succeeded(list, listing, sentAt);
            } else {
              failed(failure);
            }
          });
    }

    private void succeeded(boolean list, Listing listing, long sentAt) {
      long now = clock.nanoTime();
      if (failures > 0) {
        LOG.atInfo().addKeyValue("kind", kind).log("platform reached again");
        returned = true;
        returnedAt = now;
        failures = 0;
        kinds.values().stream().filter(other -> other != this).forEach(KindSync::renew);
      }
      boolean afterOutage = returned && now - returnedAt < RETURN_NANOS;
      boolean changed;
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
            .log("copy changed");
        onChange.accept(kind);
      }
      if (watching && (!changed || restMs == 0)) {
        next();
      } else {
        later(restMs);
      }
    }

    private void later(long delayMs) {
      if (timer != null) {
        timer.cancel();
      }
      timer = scheduler.schedule(this::refresh, delayMs, TimeUnit.MILLISECONDS);
    }

    private void failed(Throwable wrapped) {
      Throwable failure = Failures.unwrap(wrapped);
      if (failure instanceof ClementinefordException known && known.kind() == ErrorKind.NOT_FOUND) {
        LOG.atInfo().addKeyValue("kind", kind).log("history lost, listing again");
        listNeeded = true;
        later(LISTING_PAUSE_MS);
        return;
      }
      if (failures == 0) {
        LOG.atWarn()
            .addKeyValue("kind", kind)
            .addKeyValue("reason", failure.getMessage())
            .log("platform not reached");
      }
      long pause = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS << Math.min(failures, 3));
      failures++;
      later(pause);
    }

    void expire() {
      if (copy.expire(clock.nanoTime())) {
        LOG.atInfo().addKeyValue("kind", kind).log("entries did not return after an outage");
        onChange.accept(kind);
      }
    }
  }
}
