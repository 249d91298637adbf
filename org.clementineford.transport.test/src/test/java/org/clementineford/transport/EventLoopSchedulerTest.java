package org.clementineford.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class EventLoopSchedulerTest {
  private final MultiThreadIoEventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoopScheduler scheduler = new EventLoopScheduler(eventLoops);

  @AfterEach
  void stop() {
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  static Stream<Supplier<Error>> errors() {
    return List.<Supplier<Error>>of(
        StackOverflowError::new,
        () -> new OutOfMemoryError("by the test"),
        () -> new NoClassDefFoundError("by the test"),
        AssertionError::new)
        .stream();
  }

  // Guards against a process that stays alive without its timers after an error in one of them.
  @ParameterizedTest
  @MethodSource("errors")
  void repeatedTaskRunsAgainAfterAnError(Supplier<Error> error) throws Exception {
    CountDownLatch runs = new CountDownLatch(3);
    scheduler.scheduleWithFixedDelay(
        () -> {
          runs.countDown();
          throw error.get();
        },
        1,
        TimeUnit.MILLISECONDS);
    assertThat(runs.await(5, TimeUnit.SECONDS)).isTrue();
  }

  // Guards against an event loop that ends with the task that failed.
  @Test
  void otherTasksRunAfterAnError() throws Exception {
    scheduler.schedule(
        () -> {
          throw new StackOverflowError();
        },
        0,
        TimeUnit.MILLISECONDS);
    CountDownLatch ran = new CountDownLatch(1);
    scheduler.schedule(ran::countDown, 5, TimeUnit.MILLISECONDS);
    assertThat(ran.await(5, TimeUnit.SECONDS)).isTrue();
  }
}
