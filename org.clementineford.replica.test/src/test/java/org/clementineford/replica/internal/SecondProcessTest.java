package org.clementineford.replica.internal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.fleet.DirectoryDecoder;
import org.clementineford.fleet.VmSettings;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.replica.LocalEngine;
import org.clementineford.replica.WeightOrigin;
import org.clementineford.serving.directory.ObjectDirectory;
import org.clementineford.testing.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SecondProcessTest {
  /** Longer than the interval at which a process reads the status of its engine. */
  private static final long SEVERAL_POLLS_MS = 400;

  private final EventLoopGroup firstLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoopGroup secondLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final AtomicInteger callsOfFirst = new AtomicInteger();
  private final AtomicInteger callsOfSecond = new AtomicInteger();
  private List<HostPort> ports;

  @BeforeEach
  void startFirst() throws Exception {
    ports = FreePorts.find(3);
    process(firstLoops, ports.get(0), ports.get(1), callsOfFirst).start();
  }

  @AfterEach
  void stop() {
    firstLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    secondLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** Returns an object whose calls are counted and never answered. */
  private static <T> T silent(Class<T> type, AtomicInteger calls) {
    return type.cast(
        Proxy.newProxyInstance(
            type.getClassLoader(),
            new Class<?>[] {type},
            (proxy, method, arguments) -> {
              calls.incrementAndGet();
              return new CompletableFuture<>();
            }));
  }

  private static EndpointVmProcess process(
      EventLoopGroup loops, HostPort peers, HostPort datagrams, AtomicInteger calls) {
    return new EndpointVmProcess(
        new VmSettings(
            "a",
            "x",
            "r",
            Map.of(),
            Optional.empty(),
            Optional.empty(),
            peers,
            datagrams,
            List.of(),
            Optional.of(new HostPort("127.0.0.1", 1)),
            "pool",
            new HostPort("127.0.0.1", 1),
            1_000_000,
            new VmSettings.Bounds(
                1_000, 5_000, true, 8_000, 0.2, 100, 10, 3_600, 2_000, 2_000, 3_000)),
        silent(ObjectDirectory.class, calls),
        silent(DirectoryDecoder.class, calls),
        silent(LocalEngine.class, calls),
        silent(WeightOrigin.class, calls),
        loops,
        SystemNanoClock.INSTANCE,
        SystemNanoClock.INSTANCE,
        1);
  }

  private void assertSecondDoesNothing(HostPort peers, HostPort datagrams) throws Exception {
    EndpointVmProcess second = process(secondLoops, peers, datagrams, callsOfSecond);
    assertThatThrownBy(second::start).isInstanceOf(ClementinefordException.class);
    firstLoops.schedule(() -> {}, SEVERAL_POLLS_MS, TimeUnit.MILLISECONDS).get();
    assertThat(callsOfFirst).hasPositiveValue();
    assertThat(callsOfSecond).hasValue(0);
  }

  // Guards against two processes that order the engine of one VM: the addresses are taken first.
  @Test
  void doesNothingWhileTheFirstHasItsAddresses() throws Exception {
    assertSecondDoesNothing(ports.get(0), ports.get(1));
  }

  // Guards against the same if the first process closed one of its addresses already.
  @Test
  void doesNothingWhileTheFirstHasItsDatagramAddress() throws Exception {
    assertSecondDoesNothing(ports.get(2), ports.get(1));
  }
}
