package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import java.util.concurrent.TimeUnit;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EventLoopMonitorTest {
  private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final VirtualTime time = new VirtualTime(0);
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final EventLoopMonitor monitor =
      new EventLoopMonitor(time, INTERVAL_NANOS, new GatewayMetrics(registry));

  private HistogramSnapshot.HistogramDataPointSnapshot lateness() {
    return (HistogramSnapshot.HistogramDataPointSnapshot)
        registry
            .scrape(name -> name.equals("clementineford_entry_event_loop_late_seconds"))
            .get(0)
            .getDataPoints()
            .get(0);
  }

  private void runTask() {
    monitor.taskStarted(0);
    monitor.taskEnded();
  }

  @Nested
  class Lateness {
    // Guards against a stall of the event loop that leaves no trace.
    @Test
    void ofStallIsRecorded() {
      runTask();
      time.advance(1_520, TimeUnit.MILLISECONDS);
      runTask();
      assertThat(lateness().getCount()).isEqualTo(1);
      assertThat(lateness().getSum()).isEqualTo(1.5);
    }

    @Test
    void ofPunctualTaskIsNotRecorded() {
      runTask();
      time.advance(20, TimeUnit.MILLISECONDS);
      runTask();
      assertThat(lateness().getCount()).isZero();
    }
  }
}
