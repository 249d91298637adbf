package org.clementineford.soak;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.clementineford.kernel.HostPort;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LinkProxyTest {
  /** Loopback address that no run uses. */
  private static final HostPort ADDRESS = new HostPort("127.201.0.1", 9_000);

  private static final int TIMEOUT_MS = 5_000;

  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private ServerSocket server;
  private LinkProxy link;

  @BeforeEach
  void start() throws Exception {
    server = new ServerSocket(0, 1, InetAddress.getByName(ADDRESS.host()));
    server.setSoTimeout(TIMEOUT_MS);
    link = new LinkProxy(eventLoops, ADDRESS, new HostPort(ADDRESS.host(), server.getLocalPort()));
  }

  @AfterEach
  void stop() throws Exception {
    link.close();
    server.close();
    eventLoops.shutdownGracefully().syncUninterruptibly();
  }

  @Test
  void bytesAfterDelayDoNotOvertakeDelayedOnes() throws Exception {
    try (Socket connecting = new Socket(ADDRESS.host(), ADDRESS.port());
        Socket accepting = server.accept()) {
      accepting.setSoTimeout(TIMEOUT_MS);
      InputStream received = accepting.getInputStream();
      // Shows that both sides are connected.
      connecting.getOutputStream().write('0');
      assertThat(received.read()).isEqualTo('0');

      link.setFault(LinkFault.DELAYED);
      connecting.getOutputStream().write('1');
      Thread.sleep(LinkFault.DELAYED.delayMs() / 2);
      link.setFault(LinkFault.NONE);
      connecting.getOutputStream().write('2');

      assertThat(new String(received.readNBytes(2), StandardCharsets.UTF_8)).isEqualTo("12");
    }
  }
}
