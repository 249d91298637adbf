package org.clementineford.replica.internal;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.replica.WeightDigests;
import org.clementineford.replica.WeightOrigin;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

class LoggingWeightOriginTest {
  private final VirtualTime time = new VirtualTime(0);
  private final HostPort address = new HostPort("127.0.0.1", 1);
  private final ListAppender<ILoggingEvent> lines = new ListAppender<>();
  private final Logger logger = (Logger) LoggerFactory.getLogger(LoggingWeightOrigin.class);
  private CompletableFuture<byte[]> nextChunk;
  private final LoggingWeightOrigin origin =
      new LoggingWeightOrigin(
          new WeightOrigin() {
            @Override
            public CompletableFuture<WeightDigests> digests(
                HostPort origin, String model, OptionalLong version) {
              return CompletableFuture.failedFuture(new IllegalStateException("reset"));
            }

            @Override
            public CompletableFuture<byte[]> chunk(
                HostPort origin, String model, long version, int chunk) {
              return nextChunk;
            }
          },
          time);

  @BeforeEach
  void attachAppender() {
    lines.start();
    logger.addAppender(lines);
  }

  @AfterEach
  void detachAppender() {
    logger.detachAppender(lines);
  }

  // Guards against an outage of the origin that is not logged, or is logged once for each read.
  @Test
  void logsOneLineWhenUnreachableAndOneWhenReachableAgain() {
    origin.digests(address, "m", OptionalLong.empty());
    origin.digests(address, "m", OptionalLong.empty());
    time.advance(5, TimeUnit.SECONDS);
    nextChunk = CompletableFuture.completedFuture(new byte[1]);
    origin.chunk(address, "m", 1, 0);
    origin.chunk(address, "m", 1, 1);
    assertThat(lines.list)
        .extracting(ILoggingEvent::getMessage)
        .containsExactly(
            "cannot reach the weight origin; retrying", "weight origin reachable again");
    assertThat(lines.list.get(1).getKeyValuePairs())
        .extracting(pair -> pair.key + "=" + pair.value)
        .containsExactly("lostMs=5000", "failures=2");
  }

  // Guards against logging an outage for a read that was cancelled because a peer was faster.
  @Test
  void ignoresCancelledReads() {
    nextChunk = new CompletableFuture<>();
    origin.chunk(address, "m", 1, 0).cancel(false);
    assertThat(lines.list).isEmpty();
  }
}
