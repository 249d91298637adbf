package org.clementineford.transport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SilentIdleConnectionsTest {
  private static final int FIRST_CONNECTIONS = 3;
  private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

  private final List<Socket> accepted = new CopyOnWriteArrayList<>();
  private EventLoopGroup eventLoops;
  private HttpClient client;
  private ServerSocket server;

  @BeforeEach
  void start() throws IOException {
    eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    client = new HttpClient(eventLoops, LinkShaping.NONE);
    server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    startDaemon(this::accept);
  }

  @AfterEach
  void stop() throws IOException {
    client.close();
    server.close();
    for (Socket socket : accepted) {
      socket.close();
    }
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static void startDaemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        boolean silentAfterOne = accepted.size() < FIRST_CONNECTIONS;
        accepted.add(socket);
        startDaemon(() -> answer(socket, silentAfterOne));
      }
    } catch (IOException e) {
      // The test closed the socket.
    }
  }

  private static void answer(Socket socket, boolean silentAfterOne) {
    try {
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      boolean answers = true;
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        if (line.isEmpty() && answers) {
          socket.getOutputStream().write(ANSWER.getBytes(StandardCharsets.US_ASCII));
          answers = !silentAfterOne;
        }
      }
    } catch (IOException e) {
      // The client closed the connection.
    }
  }

  private CompletableFuture<HttpResponse> call(long timeoutMs) {
    return client.call(
        new HostPort("127.0.0.1", server.getLocalPort()),
        new HttpRequest("GET", "/", Map.of(), new byte[0]),
        timeoutMs);
  }

  private void useFirstConnections() throws Exception {
    List<CompletableFuture<HttpResponse>> calls = List.of(call(5_000), call(5_000), call(5_000));
    for (CompletableFuture<HttpResponse> call : calls) {
      call.get(10, TimeUnit.SECONDS);
    }
  }

  // Guards against a retry on a silent connection, since its caller is told before they are closed.
  @Test
  void areClosedBeforeTheCallerIsTold() throws Exception {
    useFirstConnections();
    CompletableFuture<HttpResponse> again =
        call(200)
            .handle((response, failure) -> failure)
            .thenCompose(
                failure -> {
                  assertThat(failure).isNotNull();
                  return call(5_000);
                });
    assertThat(again.get(10, TimeUnit.SECONDS).status()).isEqualTo(200);
  }

  // Guards against one timeout after the other while connections that went silent are tried.
  @Test
  void areClosedAfterOneCallWithoutAnswer() throws Exception {
    useFirstConnections();
    assertThatThrownBy(() -> call(200).get(10, TimeUnit.SECONDS))
        .isInstanceOf(ExecutionException.class);
    assertThat(call(5_000).get(10, TimeUnit.SECONDS).status()).isEqualTo(200);
  }
}
