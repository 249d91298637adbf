package org.clementineford.node.internal;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.clementineford.configuration.Document;
import org.clementineford.configuration.errors.DocumentException;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.platform.ObjectStore;
import org.clementineford.kernel.platform.StoredObject;

/** Watches the document on the platform while this process is one of the watchers. */
public final class PlatformWatch {
  private static final long WATCH_TIMEOUT_MS = 30_000;
  private static final long IDLE_DELAY_MS = 1000;
  private static final long FIRST_RETRY_MS = 200;
  private static final long LAST_RETRY_MS = 2000;

  private final ObjectStore store;
  private final ConfigurationAgent configuration;
  private final Scheduler scheduler;
  private final BooleanSupplier watcher;
  private long knownVersion;
  private long retryMs = FIRST_RETRY_MS;
  private boolean stopped;

  /**
   * Creates a watch.
   *
   * @param store the platform's object API
   * @param configuration takes the documents
   * @param scheduler timers
   * @param watcher tells whether this process should watch now
   */
  public PlatformWatch(
      ObjectStore store,
      ConfigurationAgent configuration,
      Scheduler scheduler,
      BooleanSupplier watcher) {
    this.store = store;
    this.configuration = configuration;
    this.scheduler = scheduler;
    this.watcher = watcher;
  }

  /** Starts to watch. */
  public void start() {
    step();
  }

  /** Stops; a call in progress is ignored when it ends. */
  public synchronized void stop() {
    stopped = true;
  }

  private void step() {
    long version;
    synchronized (this) {
      if (stopped) {
        return;
      }
      version = knownVersion;
    }
    if (!watcher.getAsBoolean()) {
      scheduler.schedule(this::step, IDLE_DELAY_MS, TimeUnit.MILLISECONDS);
      return;
    }
    store
        .watch(Document.OBJECT_KEY, version, WATCH_TIMEOUT_MS)
        .whenComplete(
            (object, failure) -> {
              if (failure == null) {
                taken(object);
              } else {
                retry();
              }
            });
  }

  private void taken(Optional<StoredObject> object) {
    synchronized (this) {
      if (stopped) {
        return;
      }
      retryMs = FIRST_RETRY_MS;
    }
    boolean stale = false;
    if (object.isPresent()) {
      synchronized (this) {
        stale = object.get().version() < knownVersion;
        knownVersion = Math.max(knownVersion, object.get().version());
      }
      offer(object.get());
    }
    if (stale) {
      // Asking again at once would get the same stale copy.
      retry();
    } else {
      step();
    }
  }

  private void offer(StoredObject object) {
    try {
      configuration.offer(Document.parse(object.value()), "platform");
    } catch (DocumentException e) {
      configuration.refuse(0, e);
    }
  }

  private void retry() {
    long delay;
    synchronized (this) {
      delay = retryMs / 2 + ThreadLocalRandom.current().nextLong(retryMs / 2 + 1);
      retryMs = Math.min(LAST_RETRY_MS, retryMs * 2);
    }
    scheduler.schedule(this::step, delay, TimeUnit.MILLISECONDS);
  }
}
