package org.clementineford.serving.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ObserverDutyTest {
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final List<ObserverDuty> duties = new ArrayList<>();
  private long now;

  private static String name(int vm) {
    return "10.0.0." + vm;
  }

  private List<String> names() {
    return IntStream.range(0, duties.size()).mapToObj(ObserverDutyTest::name).toList();
  }

  private void create(int count) {
    for (int i = 0; i < count; i++) {
      double spread = (i + 0.5) / count;
      duties.add(new ObserverDuty(name(i), () -> spread));
    }
  }

  private List<Integer> observing() {
    List<Integer> observing = new ArrayList<>();
    for (int i = 0; i < duties.size(); i++) {
      if (duties.get(i).isObserving()) {
        observing.add(i);
      }
    }
    return observing;
  }

  /** Lets all VMs but the silent ones hear each other for a time. */
  private void advance(long durationMs, List<Integer> silent) {
    long end = now + TimeUnit.MILLISECONDS.toNanos(durationMs);
    while (now < end) {
      now += STEP_NANOS;
      for (int vm : observing()) {
        if (!silent.contains(vm)) {
          duties.forEach(duty -> duty.answered(name(vm), true, now));
        }
      }
      for (int i = 0; i < duties.size(); i++) {
        if (!silent.contains(i)) {
          duties.get(i).update(true, names(), now);
        }
      }
    }
  }

  @Nested
  class Fleet {
    // Guards against calls to the platform that grow with the VMs of a data centre.
    @Test
    void endsWithTwoObservers() {
      create(60);
      advance(4_000, List.of());
      assertThat(observing()).hasSize(2);
    }

    // Guards against followers without an observer after both were lost at once, and against all of
    // them calling the platform at that moment.
    @Test
    void replacesBothObserversWithinOneSecond() {
      create(60);
      advance(4_000, List.of());
      List<Integer> lost = observing();
      advance(1_000, lost);
      List<Integer> next = new ArrayList<>(observing());
      next.removeAll(lost);
      assertThat(next).hasSizeBetween(2, 60);
      advance(4_000, lost);
      next = new ArrayList<>(observing());
      next.removeAll(lost);
      assertThat(next).hasSizeBetween(2, 3);
    }
  }

  /** The observers lose the platform's answers, and so does each VM that takes over from them. */
  @Nested
  class SlowPlatform {
    private static final int VMS = 20;

    private void update(boolean isSound) {
      now += STEP_NANOS;
      duties.forEach(duty -> duty.update(isSound, names(), now));
    }

    // Guards against all followers at once fetching whole copies over a link that is already full.
    @Test
    void isNotAskedByAllFollowersAtOnce() {
      create(VMS);
      advance(4_000, List.of());
      for (int i = 0; i < 10; i++) {
        update(false);
      }
      assertThat(observing()).hasSizeBetween(4, VMS / 2);
    }
  }

  @Nested
  class Vm {
    private final ObserverDuty duty = new ObserverDuty("vm", () -> 0.5);

    private ObserverDuty.Step after(long ms, boolean isSound) {
      now += TimeUnit.MILLISECONDS.toNanos(ms);
      return duty.update(isSound, List.of(name(0), name(1)), now);
    }

    private void hear(int vms) {
      for (int vm = 0; vm < vms; vm++) {
        duty.answered(name(vm), true, now);
      }
    }

    private void becomeFollower() {
      for (int i = 0; i < 50; i++) {
        hear(60);
        after(100, true);
      }
      assertThat(duty.isObserving()).isFalse();
    }

    // Guards against ending the own watches for observers that are heard once.
    @Test
    void observesUntilBetterObserversWereHeardForSomeTime() {
      hear(60);
      assertThat(after(100, true)).isEqualTo(ObserverDuty.Step.NONE);
      assertThat(after(3_000, true)).isEqualTo(ObserverDuty.Step.NONE);
      assertThat(duty.isObserving()).isTrue();
    }

    // Guards against a VM that follows observers although its own copies are proven by none.
    @Test
    void observesWhenItsCopiesAreOverdue() {
      becomeFollower();
      hear(60);
      after(100, false);
      hear(60);
      assertThat(after(100, false)).isEqualTo(ObserverDuty.Step.OBSERVE);
    }

    // Guards against following observers that are heard but do not hear this VM.
    @Test
    void countsOnlyObserversThatAnswer() {
      becomeFollower();
      for (int i = 0; i < 10; i++) {
        for (int vm = 0; vm < 60; vm++) {
          duty.heard(name(vm), true, now);
        }
        after(100, true);
      }
      assertThat(duty.isObserving()).isTrue();
    }

    // Guards against asking observers that do not answer in place of those that do.
    @Test
    void asksThoseFirstThatAnswer() {
      becomeFollower();
      after(800, true);
      duty.heard(name(1), true, now);
      duty.heard(name(2), true, now);
      duty.answered(name(3), true, now);
      assertThat(duty.observers()).hasSize(2).first().isEqualTo(name(3));
    }

    // Guards against following an observer that lost the platform.
    @Test
    void doesNotCountObserversWithOverdueCopies() {
      becomeFollower();
      for (int vm = 0; vm < 60; vm++) {
        duty.heard(name(vm), false, now);
      }
      after(100, true);
      assertThat(after(100, true)).isEqualTo(ObserverDuty.Step.OBSERVE);
    }

    // Guards against a VM that was paused and acts on observers that it heard before.
    @Test
    void observesAfterPause() {
      becomeFollower();
      after(10_000, false);
      assertThat(after(100, false)).isEqualTo(ObserverDuty.Step.OBSERVE);
    }
  }
}
