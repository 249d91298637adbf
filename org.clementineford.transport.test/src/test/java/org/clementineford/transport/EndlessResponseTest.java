package org.clementineford.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class EndlessResponseTest {
  /** Bytes that a server may send until the client closes; the rest fits into buffers. */
  private static final long MAX_SENT_BYTES = 64L << 20;

  /** Longer than the test waits, so that no timeout ends a call. */
  private static final long TIMEOUT_MS = 60_000;

  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient client = new HttpClient(eventLoops, LinkShaping.NONE);

  /** A start of a response, and a part that the server repeats until the client closes. */
  private enum Response {
    STATUS_LINE("", "x"),
    HEADER_FIELDS("HTTP/1.1 200 OK\r\n", "a: b\r\n"),
    LINE_BREAKS("", "\r\n"),
    BODY_UNTIL_CLOSE("HTTP/1.1 200 OK\r\n\r\n", "x"),
    BODY_CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
    TRAILERS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n");

    private final String start;
    private final String part;

    Response(String start, String part) {
      this.start = start;
      this.part = part;
    }

    /** Sends until the client closes the connection, and returns the number of bytes. */
    long sendTo(Socket socket) {
      byte[] block = part.repeat(65_536 / part.length()).getBytes(StandardCharsets.US_ASCII);
      long sent = 0;
      try {
        socket.getOutputStream().write(start.getBytes(StandardCharsets.US_ASCII));
        while (sent < MAX_SENT_BYTES) {
          socket.getOutputStream().write(block);
          sent += block.length;
        }
      } catch (IOException e) {
        return sent;
      }
      return sent;
    }
  }

  @AfterEach
  void stop() {
    client.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Nested
  class Call {
    // Guards against a call that is held, and memory that grows, while a server sends on.
    @ParameterizedTest
    @EnumSource(Response.class)
    void failsAtOnce(Response response) throws Exception {
      try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
        HttpRequest request = new HttpRequest("GET", "/", Map.of(), new byte[0]);
        var call =
            client.call(new HostPort("127.0.0.1", server.getLocalPort()), request, TIMEOUT_MS);
        try (Socket socket = server.accept()) {
          CompletableFuture<Long> sent =
              CompletableFuture.supplyAsync(() -> response.sendTo(socket));
          assertThat(call).failsWithin(5, TimeUnit.SECONDS);
          assertThat(sent.get(5, TimeUnit.SECONDS)).isLessThan(MAX_SENT_BYTES);
        }
      }
    }
  }
}
