package org.clementineford.endpoint.internal.weights;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.platform.ModelEngine;

/**
 * Detects engines that no longer serve the expected version, for example after a restart. Engines
 * report with a delay, so a difference counts only after several consecutive reports.
 */
final class EngineMonitor {
  private static final long INTERVAL_MS = 2000;
  private static final int DIFFERENCES_UNTIL_LOST = 3;

  private final List<ModelEngine> engines;
  private final Runnable onLost;
  private String expectedDigest;
  private int differences;
  private Scheduler.Cancellable timer;

  EngineMonitor(List<ModelEngine> engines, Runnable onLost) {
    this.engines = List.copyOf(engines);
    this.onLost = onLost;
  }

  synchronized void start(Scheduler scheduler) {
    timer = scheduler.scheduleWithFixedDelay(this::check, INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  synchronized void stop() {
    if (timer != null) {
      timer.cancel();
    }
  }

  /** Sets the digest that all engines must report from now on; null disables the check. */
  synchronized void setExpectedDigest(String digest) {
    expectedDigest = digest;
    differences = 0;
  }

  private void check() {
    List<CompletableFuture<ModelEngine.EngineLoad>> reports = new ArrayList<>();
    engines.forEach(engine -> reports.add(engine.readLoad()));
    CompletableFuture.allOf(reports.toArray(CompletableFuture[]::new))
        .thenRun(() -> compare(reports.stream().map(CompletableFuture::join).toList()));
  }

  private void compare(List<ModelEngine.EngineLoad> reports) {
    synchronized (this) {
      boolean differs =
          expectedDigest != null
              && reports.stream()
                  .anyMatch(
                      report ->
                          report.loaded() == null
                              || !expectedDigest.equals(report.loaded().digest()));
      differences = differs ? differences + 1 : 0;
      if (differences < DIFFERENCES_UNTIL_LOST) {
        return;
      }
      differences = 0;
    }
    onLost.run();
  }
}
