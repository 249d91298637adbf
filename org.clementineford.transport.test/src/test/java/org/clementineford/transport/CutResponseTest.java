package org.clementineford.transport;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.testing.CutResponse;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Responses that are cut off, as {@link HttpClient} passes them on. */
class CutResponseTest {
  private static final long TIMEOUT_MS = 5_000;

  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient client = new HttpClient(eventLoops, LinkShaping.NONE);

  /** Answers a connection whose request was not read. */
  @FunctionalInterface
  private interface Script {
    void answer(Socket socket) throws IOException;
  }

  @AfterEach
  void stop() {
    client.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private CompletableFuture<HttpResponse> call(int requestBytes, Script script) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      HttpRequest request = new HttpRequest("POST", "/", Map.of(), new byte[requestBytes]);
      var response =
          client.call(new HostPort("127.0.0.1", server.getLocalPort()), request, TIMEOUT_MS);
      try (Socket socket = server.accept()) {
        script.answer(socket);
        response.handle((done, failure) -> done).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
      }
      return response;
    }
  }

  private static void readHead(Socket socket) throws IOException {
    String head = "";
    while (!head.endsWith("\r\n\r\n")) {
      head += (char) socket.getInputStream().read();
    }
  }

  // Guards against a part of a response that passes as complete, wherever the server was killed.
  @ParameterizedTest
  @EnumSource
  void isCompleteOnlyIfItWasSentCompletely(CutResponse response) throws Exception {
    for (CutResponse.Ending ending : CutResponse.Ending.values()) {
      for (int bytes = 0; bytes <= response.length(""); bytes++) {
        int sent = bytes;
        var received =
            call(
                0,
                socket -> {
                  readHead(socket);
                  response.send(socket, "", sent, ending);
                });
        if (!response.mayBeComplete(sent, ending, "")) {
          assertThat(received).as("%s after %d bytes", ending, sent).isCompletedExceptionally();
        }
      }
      if (ending == CutResponse.Ending.CLOSE) {
        assertThat(
                call(
                        0,
                        socket -> {
                          readHead(socket);
                          response.send(socket, "", response.length(""), ending);
                        })
                    .get()
                    .body())
            .asString(US_ASCII)
            .isEqualTo(CutResponse.BODY);
      }
    }
  }

  @Nested
  class WithoutLength {
    private static final int UNREAD_BYTES = 8_000_000;
    private static final String PART = "HTTP/1.1 200 OK\r\n\r\npart";

    // Guards against a part that passes as complete because the write of the request meets the
    // reset before any read does.
    @Test
    void isNotCompletedByFailedWrite() throws Exception {
      var received =
          call(
              UNREAD_BYTES,
              socket -> {
                readHead(socket);
                socket.getOutputStream().write(PART.getBytes(US_ASCII));
                awaitEventLoop();
                socket.setSoLinger(true, 0);
                socket.close();
              });
      assertThat(received).isCompletedExceptionally();
    }

    // Guards against taking the end of the input for that of the response, when a crash is reported
    // only by the bytes of the request that follow.
    @Test
    void isNotCompletedBeforeTheRequestIsWritten() throws Exception {
      var received =
          call(
              UNREAD_BYTES,
              socket -> {
                readHead(socket);
                socket.getOutputStream().write(PART.getBytes(US_ASCII));
                socket.shutdownOutput();
                awaitEventLoop();
                socket.setSoLinger(true, 0);
                socket.close();
              });
      assertThat(received).isCompletedExceptionally();
    }

    /** Lets the event loop read what has arrived. */
    private void awaitEventLoop() throws IOException {
      try {
        for (int i = 0; i < 2; i++) {
          eventLoops.submit(() -> {}).get();
        }
      } catch (InterruptedException | ExecutionException e) {
        throw new IOException(e);
      }
    }
  }

  // Guards against an interim response that is taken for the response.
  @Test
  void followsInterimResponses() throws Exception {
    var received =
        call(
            0,
            socket -> {
              readHead(socket);
              socket
                  .getOutputStream()
                  .write(
                      "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                          .getBytes(US_ASCII));
            });
    assertThat(received.get().status()).isEqualTo(200);
  }

  // Guards against the beginning of a second response that stays in the decoder of an idle
  // connection and joins the head of the next response.
  @Test
  void connectionIsClosedAtTheBeginningOfSecondResponse() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      HttpRequest request = new HttpRequest("GET", "/", Map.of(), new byte[0]);
      var response =
          client.call(new HostPort("127.0.0.1", server.getLocalPort()), request, TIMEOUT_MS);
      try (Socket socket = server.accept()) {
        socket.setSoTimeout((int) TIMEOUT_MS);
        readHead(socket);
        socket
            .getOutputStream()
            .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(US_ASCII));
        response.get();
        socket.getOutputStream().write("HTTP/1.1 503 X\r\nDate: Sat".getBytes(US_ASCII));
        assertThat(socket.getInputStream().read()).isEqualTo(-1);
      }
    }
  }
}
