package org.clementineford.launcher;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.clementineford.kernel.errors.SettingException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class ProcessLifecycleTest {
  private final AtomicLong now = new AtomicLong();
  private final ProcessLifecycle lifecycle = new ProcessLifecycle(now::get);
  private final List<String> steps = Collections.synchronizedList(new ArrayList<>());
  private final Thread stopping = new Thread(lifecycle::stop);

  private ProcessLifecycle.Stop started() {
    steps.add("started");
    return requestedAt -> steps.add("stopped");
  }

  /** Begins a stop in another thread and returns once it waits for this one. */
  private void beginStop() {
    stopping.start();
    while (stopping.getState() != Thread.State.BLOCKED) {
      Thread.onSpinWait();
    }
  }

  @Nested
  class Stop {
    @Test
    void duringTheStartWaitsAndStopsWhatWasStarted() throws Exception {
      boolean ran =
          lifecycle.start(
              () -> {
                beginStop();
                return started();
              });
      stopping.join();
      assertThat(ran).isTrue();
      assertThat(steps).containsExactly("started", "stopped");
    }

    // Guards against a stop whose end is behind that of the process by the time of the start.
    @Test
    void duringTheStartCountsItsTimeFromItsArrival() throws Exception {
      AtomicLong stopRequestedAt = new AtomicLong(-1);
      lifecycle.start(
          () -> {
            beginStop();
            now.set(3_000);
            return stopRequestedAt::set;
          });
      stopping.join();
      assertThat(stopRequestedAt).hasValue(0);
    }

    @Test
    void beforeTheStartLeavesNothingThatAcceptsWork() throws Exception {
      lifecycle.stop();
      assertThat(lifecycle.start(ProcessLifecycleTest.this::started)).isFalse();
      assertThat(steps).isEmpty();
    }

    @Test
    void calledTwiceStopsOnceAndIsNotCutShortByTheSecond() throws Exception {
      lifecycle.start(
          () ->
              requestedAt -> {
                beginStop();
                steps.add("stopped");
              });
      lifecycle.stop();
      stopping.join();
      assertThat(steps).containsExactly("stopped");
    }

    @Test
    void doesNotWaitForeverForStartThatFailed() throws Exception {
      assertThatThrownBy(
              () ->
                  lifecycle.start(
                      () -> {
                        beginStop();
                        throw new SettingException("invalid");
                      }))
          .isInstanceOf(SettingException.class);
      stopping.join();
      assertThat(lifecycle.start(ProcessLifecycleTest.this::started)).isFalse();
    }
  }

  @Test
  void settingsCheckRequestedBeforeTheSettingsIsNotLost() {
    SettingsCheck check = new SettingsCheck();
    check.request();
    assertThat(steps).isEmpty();
    check.enable(() -> steps.add("checked"));
    assertThat(steps).containsExactly("checked");
    check.request();
    assertThat(steps).hasSize(2);
  }
}
