package org.clementineford.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.clementineford.kernel.HostPort;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpExchange;
import org.clementineford.transport.http.HttpHandler;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;
import org.clementineford.transport.http.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HttpTest {
  private EventLoopGroup eventLoops;
  private HttpClient client;
  private HttpServer server;

  @BeforeEach
  void start() {
    eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    client = new HttpClient(eventLoops, LinkShaping.NONE);
  }

  @AfterEach
  void stop() {
    client.close();
    server.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private CompletableFuture<HttpResponse> call(HttpHandler handler, String body) throws Exception {
    server =
        HttpServer.start(
            eventLoops, new HostPort("127.0.0.1", 0), 1 << 20, LinkShaping.NONE, handler);
    HttpRequest request =
        new HttpRequest("POST", "/echo?x=1", Map.of(), body.getBytes(StandardCharsets.UTF_8));
    return client.call(server.address(), request, 5000);
  }

  // Guards against lost or reordered parts of a streamed body.
  @Test
  void streamedPartsArriveInOrder() throws Exception {
    HttpResponse response =
        call(
                exchange -> {
                  exchange.start(200, Map.of("X-Test", "yes"));
                  exchange.write("one ".getBytes(StandardCharsets.UTF_8));
                  exchange.write(exchange.request().body());
                  exchange.finish();
                },
                "two")
            .get(5, TimeUnit.SECONDS);
    assertThat(response.status()).isEqualTo(200);
    assertThat(response.headers()).containsEntry("x-test", "yes");
    assertThat(new String(response.body(), StandardCharsets.UTF_8)).isEqualTo("one two");
  }

  // Guards against a truncated body that the client takes for complete.
  @Test
  void abortedStreamFails() throws Exception {
    CompletableFuture<HttpResponse> response =
        call(
            exchange -> {
              exchange.start(200, Map.of());
              exchange.write("one".getBytes(StandardCharsets.UTF_8));
              exchange.abort();
            },
            "");
    assertThat(response)
        .failsWithin(5, TimeUnit.SECONDS)
        .withThrowableOfType(ExecutionException.class);
  }

  // Guards against a planned stop that truncates a response in progress.
  @Test
  void closeAfterWritesDeliversTheCompleteResponse() throws Exception {
    byte[] large = new byte[8 << 20];
    CompletableFuture<Void> responded = new CompletableFuture<>();
    CompletableFuture<HttpResponse> response =
        call(
            exchange -> {
              exchange.respond(200, Map.of(), large);
              responded.complete(null);
            },
            "");
    responded.get(5, TimeUnit.SECONDS);
    server.closeAfterWrites(5000);
    assertThat(response.get(5, TimeUnit.SECONDS).body()).hasSize(large.length);
  }

  // Guards against a planned stop that drops requests read behind one that is being answered.
  @Test
  void closeAfterWritesAnswersPipelinedRequests() throws Exception {
    int requests = 4;
    CompletableFuture<HttpExchange> first = new CompletableFuture<>();
    server =
        HttpServer.start(
            eventLoops,
            new HostPort("127.0.0.1", 0),
            1 << 20,
            LinkShaping.NONE,
            exchange -> {
              if (!first.complete(exchange)) {
                exchange.respond(503, Map.of(), new byte[0]);
              }
            });
    try (Socket caller = new Socket("127.0.0.1", server.address().port())) {
      String request = "GET /lots HTTP/1.1\r\nHost: entry\r\n\r\n";
      caller.getOutputStream().write(request.repeat(requests).getBytes(StandardCharsets.UTF_8));
      final HttpExchange held = first.get(5, TimeUnit.SECONDS);
      eventLoops.forEach(loop -> loop.submit(() -> {}).syncUninterruptibly());
      held.respond(200, Map.of(), new byte[0]);
      server.closeAfterWrites(5000);
      caller.setSoTimeout(5000);
      String responses = new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertThat(responses.split("HTTP/1.1 503", -1)).hasSize(requests);
      assertThat(responses).startsWith("HTTP/1.1 200");
    }
  }

  // Guards against a malformed request that is handled as one for a path which the decoder made up.
  @ParameterizedTest
  @ValueSource(strings = {"NOT HTTP\r\n\r\n", "GET / HTTP/1.1\r\n: x\r\n\r\n"})
  void malformedRequestIsRefused(String request) throws Exception {
    AtomicInteger handled = new AtomicInteger();
    server =
        HttpServer.start(
            eventLoops,
            new HostPort("127.0.0.1", 0),
            1 << 20,
            LinkShaping.NONE,
            exchange -> {
              handled.incrementAndGet();
              exchange.respond(200, Map.of(), new byte[0]);
            });
    try (Socket caller = new Socket("127.0.0.1", server.address().port())) {
      caller.setSoTimeout(5000);
      caller.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
      String responses = new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertThat(responses).startsWith("HTTP/1.1 400 ");
      assertThat(handled).hasValue(0);
    }
  }

  // Guards against a server that continues to work on a request that its client has cancelled.
  @Test
  void cancelledCallClosesTheExchange() throws Exception {
    CompletableFuture<Void> closed = new CompletableFuture<>();
    CompletableFuture<HttpExchange> opened = new CompletableFuture<>();
    server =
        HttpServer.start(
            eventLoops,
            new HostPort("127.0.0.1", 0),
            1 << 20,
            LinkShaping.NONE,
            exchange -> {
              exchange.onClosed(() -> closed.complete(null));
              opened.complete(exchange);
            });
    var call =
        client.send(
            server.address(),
            new HttpRequest("GET", "/", Map.of(), new byte[0]),
            5000,
            new HttpResponseListenerAdapter());
    opened.get(5, TimeUnit.SECONDS);
    call.cancel();
    assertThat(closed).succeedsWithin(5, TimeUnit.SECONDS);
  }

  // Guards against a request that waits indefinitely for a server that accepts it but sends no
  // response.
  @Test
  void callFailsAfterTheIdleTimeoutWithoutResponse() throws Exception {
    CompletableFuture<ExchangeFailure> failure = new CompletableFuture<>();
    server =
        HttpServer.start(
            eventLoops, new HostPort("127.0.0.1", 0), 1024, LinkShaping.NONE, exchange -> {});
    client.send(
        server.address(),
        new HttpRequest("GET", "/", Map.of(), new byte[0]),
        100,
        new HttpResponseListenerAdapter() {
          @Override
          public void onFailure(ExchangeFailure reason, String cause) {
            failure.complete(reason);
          }
        });
    assertThat(failure.get(5, TimeUnit.SECONDS)).isEqualTo(ExchangeFailure.UNKNOWN);
  }
}
