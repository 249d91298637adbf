package org.clementineford.bench.requests;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.kernel.errors.ClementinefordException;

/** Restarts one daemon after the other as an operator does: drains it, then stops it. */
final class PlannedStops {
  private static final long BETWEEN_STOPS_MS = 1500;
  private static final long DRAIN_MS = 20_000;

  private final Site site;
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final Thread thread = new Thread(this::run, "planned-stops");
  private int stops;
  private volatile Exception failure;

  PlannedStops(Site site) {
    this.site = site;
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  /** Ends the restarts and returns the number of daemons restarted. */
  int stop() throws Exception {
    stopped.countDown();
    thread.join();
    if (failure != null) {
      throw failure;
    }
    return stops;
  }

  private void run() {
    try {
      boolean running = !stopped.await(BETWEEN_STOPS_MS, TimeUnit.MILLISECONDS);
      for (int i = 0; running; i++) {
        stopNext(i);
        stops++;
        running = !stopped.await(BETWEEN_STOPS_MS, TimeUnit.MILLISECONDS);
      }
    } catch (Exception e) {
      failure = e;
    }
  }

  private void stopNext(int number) throws Exception {
    boolean entry = number % 2 == 0;
    int index = number / 2 % (entry ? site.entryCount() : site.endpointCount());
    RequestVm daemon = entry ? site.entry(index) : site.endpoint(index);
    long endNanos = SystemNanoClock.INSTANCE.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_MS);
    daemon.component().drain(endNanos).get(DRAIN_MS, TimeUnit.MILLISECONDS);
    daemon.close();
    restart(entry, index);
  }

  private void restart(boolean entry, int index) throws ClementinefordException {
    if (entry) {
      site.restartEntry(index);
    } else {
      site.restartEndpoint(index);
    }
  }
}
