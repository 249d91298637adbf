package org.clementineford.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.testing.EndlessResponse;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class EndlessResponseTest {
  /** Longer than the test waits, so that no timeout ends a call. */
  private static final long TIMEOUT_MS = 60_000;

  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient client = new HttpClient(eventLoops, LinkShaping.NONE);

  @AfterEach
  void stop() {
    client.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Nested
  class Call {
    // Guards against a call that is held, and memory that grows, while a server sends on.
    @ParameterizedTest
    @EnumSource(
        value = EndlessResponse.class,
        mode = EnumSource.Mode.EXCLUDE,
        names = "RESPONSES_TO_OTHERS")
    void failsAtOnce(EndlessResponse response) throws Exception {
      try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
        HttpRequest request = new HttpRequest("GET", "/", Map.of(), new byte[0]);
        var call =
            client.call(new HostPort("127.0.0.1", server.getLocalPort()), request, TIMEOUT_MS);
        try (Socket socket = server.accept()) {
          OutputStream output = socket.getOutputStream();
          CompletableFuture<Long> sent =
              CompletableFuture.supplyAsync(() -> response.sendTo(output));
          assertThat(call).failsWithin(5, TimeUnit.SECONDS);
          assertThat(sent.get(5, TimeUnit.SECONDS)).isLessThan(EndlessResponse.MAX_SENT_BYTES);
        }
      }
    }
  }
}
