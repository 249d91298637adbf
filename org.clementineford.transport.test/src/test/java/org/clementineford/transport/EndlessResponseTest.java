package org.clementineford.transport;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.clementineford.kernel.HostPort;
import org.clementineford.testing.EndlessResponse;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class EndlessResponseTest {
  /** Longer than the test waits, so that no timeout ends a call. */
  private static final long TIMEOUT_MS = 60_000;

  /** More than the largest body and its overhead, in bytes. */
  private static final long MAX_RECEIVED_BYTES = 10L << 20;

  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final AtomicLong receivedBytes = new AtomicLong();
  private final HttpClient client =
      new HttpClient(eventLoops, pipeline -> pipeline.addLast(new ReceivedByteCounter()));

  @AfterEach
  void stop() {
    client.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private CompletableFuture<HttpResponse> call(ServerSocket server) {
    HttpRequest request = new HttpRequest("GET", "/", Map.of(), new byte[0]);
    return client.call(new HostPort("127.0.0.1", server.getLocalPort()), request, TIMEOUT_MS);
  }

  private static ServerSocket listen() throws IOException {
    return new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
  }

  private static void readHead(Socket socket) throws IOException {
    String head = "";
    while (!head.endsWith("\r\n\r\n")) {
      head += (char) socket.getInputStream().read();
    }
  }

  private final class ReceivedByteCounter extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      receivedBytes.addAndGet(((ByteBuf) message).readableBytes());
      context.fireChannelRead(message);
    }
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
      try (ServerSocket server = listen()) {
        var call = call(server);
        try (Socket socket = server.accept()) {
          readHead(socket);
          OutputStream output = socket.getOutputStream();
          CompletableFuture<Long> sent =
              CompletableFuture.supplyAsync(() -> response.sendTo(output));
          assertThat(call)
              .failsWithin(5, TimeUnit.SECONDS)
              .withThrowableOfType(ExecutionException.class);
          assertThat(sent.get(5, TimeUnit.SECONDS)).isLessThan(EndlessResponse.MAX_SENT_BYTES);
          assertThat(receivedBytes.get()).isLessThan(MAX_RECEIVED_BYTES);
        }
      }
    }

    // Guards against a sound response that is cut because of its small chunks.
    @ParameterizedTest
    @CsvSource({"1, 200000", "6, 1000000"})
    void succeedsForManySmallChunks(int chunkBytes, int chunks) throws Exception {
      try (ServerSocket server = listen()) {
        var call = call(server);
        try (Socket socket = server.accept()) {
          readHead(socket);
          String chunk = chunkBytes + "\r\n" + "x".repeat(chunkBytes) + "\r\n";
          socket
              .getOutputStream()
              .write(
                  ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                          + chunk.repeat(chunks)
                          + "0\r\n\r\n")
                      .getBytes(US_ASCII));
          assertThat(call.get(TIMEOUT_MS, TimeUnit.MILLISECONDS).body())
              .hasSize(chunkBytes * chunks);
        }
      }
    }
  }

  @Nested
  class Send {
    // Guards against a listener that gets a body byte by byte without end.
    @ParameterizedTest
    @EnumSource(names = {"BODY_CHUNKS", "CHUNK_EXTENSIONS"})
    void failsAtOnce(EndlessResponse response) throws Exception {
      try (ServerSocket server = listen()) {
        CompletableFuture<String> failed = new CompletableFuture<>();
        client.send(
            new HostPort("127.0.0.1", server.getLocalPort()),
            new HttpRequest("GET", "/", Map.of(), new byte[0]),
            TIMEOUT_MS,
            new HttpResponseListenerAdapter() {
              @Override
              public void onFailure(ExchangeFailure failure, String cause) {
                failed.complete(failure + ", " + cause);
              }
            });
        try (Socket socket = server.accept()) {
          readHead(socket);
          OutputStream output = socket.getOutputStream();
          CompletableFuture<Long> sent =
              CompletableFuture.supplyAsync(() -> response.sendTo(output));
          assertThat(failed.get(5, TimeUnit.SECONDS)).startsWith("UNKNOWN, ").contains("body");
          assertThat(sent.get(5, TimeUnit.SECONDS)).isLessThan(EndlessResponse.MAX_SENT_BYTES);
          assertThat(receivedBytes.get()).isLessThan(MAX_RECEIVED_BYTES);
        }
      }
    }
  }
}
