package org.clementineford.kernel;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.clementineford.kernel.timeline.EventKind;
import org.clementineford.kernel.timeline.HybridLogicalClock;
import org.clementineford.kernel.timeline.HybridTime;
import org.clementineford.kernel.timeline.Timeline;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TimelineTest {
  @Nested
  class Clock {
    // Guards against an effect that is listed before its cause if wall clocks differ by minutes.
    @Test
    void receiverReadsLaterThanSenderEvenIfItsWallClockIsBehind() {
      HybridLogicalClock ahead = new HybridLogicalClock(() -> 600_000);
      HybridLogicalClock behind = new HybridLogicalClock(() -> 1_000);
      HybridTime sent = ahead.now();
      HybridTime received = behind.receive(sent);
      assertThat(received).isGreaterThan(sent);
      assertThat(behind.now()).isGreaterThan(received);
    }

    // Guards against readings that decrease after the wall clock is set back.
    @Test
    void readingsNeverGoDown() {
      AtomicLong wall = new AtomicLong(5_000);
      HybridLogicalClock clock = new HybridLogicalClock(wall::get);
      HybridTime before = clock.now();
      wall.set(1_000);
      assertThat(clock.now()).isGreaterThan(before);
    }
  }

  @Nested
  class RecordedEvents {
    // Guards against memory use that grows as long as the process runs.
    @Test
    void areDroppedFromTheOldestBeyondTheCapacity() {
      Timeline timeline = new Timeline(new HybridLogicalClock(() -> 0), "vm-1", 1, 2);
      for (int i = 0; i < 3; i++) {
        timeline.record(EventKind.ORDER_SENT, "number", String.valueOf(i));
      }
      assertThat(timeline.after(0, 10))
          .extracting(event -> event.attributes().get("number"))
          .containsExactly("1", "2");
      assertThat(timeline.after(2, 10)).hasSize(1);
    }
  }
}
