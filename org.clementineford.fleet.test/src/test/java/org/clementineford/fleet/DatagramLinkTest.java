package org.clementineford.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.clementineford.kernel.HostPort;
import org.clementineford.wire.FleetDatagram;
import org.clementineford.wire.PositionsRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DatagramLinkTest {
  /** Longest time in which a datagram of those that are sent again and again arrives. */
  private static final long ARRIVAL_MS = 10_000;

  private static final long SEND_INTERVAL_MS = 50;

  private final MultiThreadIoEventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final LinkedBlockingQueue<Long> received = new LinkedBlockingQueue<>();

  @AfterEach
  void stop() {
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private static byte[] question(long number) {
    FleetDatagram datagram = new FleetDatagram();
    datagram.setPositionsRequest(new PositionsRequest().setQuestion(number));
    return ThriftCodec.encode(datagram);
  }

  private static void send(HostPort address, byte[] bytes) throws IOException {
    try (DatagramSocket socket = new DatagramSocket()) {
      socket.send(new DatagramPacket(bytes, bytes.length, address.toSocketAddress()));
    }
  }

  /** Sends a question again and again, since any datagram may be lost, until one arrives. */
  private boolean arrives(HostPort address, long number) throws Exception {
    for (long ms = 0; ms < ARRIVAL_MS; ms += SEND_INTERVAL_MS) {
      send(address, question(number));
      Long next = received.poll(SEND_INTERVAL_MS, TimeUnit.MILLISECONDS);
      if (next != null && next == number) {
        return true;
      }
    }
    return false;
  }

  // Guards against a VM that receives no datagrams any more after a single one that is malformed or
  // whose receiver fails.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void receivesAfterDatagramThatFails(boolean isError) throws Exception {
    AtomicBoolean failed = new AtomicBoolean();
    try (DatagramLink link =
        new DatagramLink(
            eventLoops,
            new HostPort("127.0.0.1", 0),
            (sender, datagram) -> {
              if (failed.compareAndSet(false, true)) {
                if (isError) {
                  throw new StackOverflowError("by the test");
                }
                throw new IllegalStateException("by the test");
              }
              received.add(datagram.getPositionsRequest().getQuestion());
            })) {
      send(link.address(), new byte[] {1, 2, 3});
      send(link.address(), new byte[0]);
      assertThat(arrives(link.address(), 7)).isTrue();
      assertThat(failed).isTrue();
    }
  }

  // Guards against a socket that is closed for good by one error in reading, as for lack of memory.
  @Test
  void receivesAfterAnErrorInReading() throws Exception {
    AtomicBoolean failing = new AtomicBoolean();
    PooledByteBufAllocator allocator =
        new PooledByteBufAllocator(false) {
          @Override
          public ByteBuf ioBuffer(int initialCapacity) {
            if (failing.compareAndSet(true, false)) {
              throw new OutOfMemoryError("by the test");
            }
            return super.ioBuffer(initialCapacity);
          }
        };
    try (DatagramLink link =
        new DatagramLink(
            eventLoops,
            new HostPort("127.0.0.1", 0),
            (sender, datagram) -> received.add(datagram.getPositionsRequest().getQuestion()),
            allocator)) {
      HostPort address = link.address();
      assertThat(arrives(address, 1)).isTrue();
      failing.set(true);
      send(address, question(2));
      assertThat(arrives(address, 3)).isTrue();
      assertThat(failing).isFalse();
    }
  }
}
