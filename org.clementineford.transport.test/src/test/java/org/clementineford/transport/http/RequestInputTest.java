package org.clementineford.transport.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.clementineford.kernel.HostPort;
import org.clementineford.testing.EndlessRequest;
import org.clementineford.transport.LinkShaping;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class RequestInputTest {
  private static final String HEAD =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

  @Nested
  class Chunks {
    // Guards against a body that is copied again for every thousand of its chunks.
    @Test
    void areJoined() {
      EmbeddedChannel channel = new EmbeddedChannel();
      RequestInput.addTo(channel.pipeline(), new HttpServerCodec());
      StringBuilder expected = new StringBuilder();
      for (int request = 0; request < 2; request++) {
        StringBuilder chunks = new StringBuilder(HEAD);
        for (int i = 0; i < 20_000; i++) {
          String chunk = "%06d".formatted(i);
          chunks.append("6\r\n").append(chunk).append("\r\n");
          expected.append(chunk);
        }
        channel.writeInbound(
            Unpooled.copiedBuffer(chunks.append("0\r\n\r\n"), StandardCharsets.US_ASCII));
      }
      StringBuilder body = new StringBuilder();
      int requests = 0;
      int parts = 0;
      for (Object message = channel.readInbound();
          message != null;
          message = channel.readInbound()) {
        if (message instanceof HttpRequest) {
          requests++;
        } else {
          parts++;
          HttpContent part = (HttpContent) message;
          body.append(part.content().toString(StandardCharsets.US_ASCII));
          part.release();
        }
      }
      assertThat(requests).isEqualTo(2);
      assertThat(body.toString()).isEqualTo(expected.toString());
      // 15 parts of 8 KB or less for each body, and its end.
      assertThat(parts).isLessThanOrEqualTo(32);
      channel.finishAndReleaseAll();
    }
  }

  @Nested
  class Server {
    private final EventLoopGroup eventLoops =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final AtomicInteger handled = new AtomicInteger();

    private HttpServer start() throws Exception {
      return HttpServer.start(
          eventLoops,
          new HostPort("127.0.0.1", 0),
          4 << 20,
          LinkShaping.NONE,
          exchange -> {
            handled.incrementAndGet();
            exchange.respond(200, Map.of(), new byte[0]);
          });
    }

    // Guards against an event loop that decodes the chunks of one client without end.
    @ParameterizedTest
    @EnumSource(EndlessRequest.class)
    void closesTheConnectionOfAnEndlessBody(EndlessRequest request) throws Exception {
      try (HttpServer server = start();
          Socket client = new Socket("127.0.0.1", server.address().port())) {
        CompletableFuture<Long> sent =
            CompletableFuture.supplyAsync(() -> request.sendTo(client, "POST / HTTP/1.1\r\n"));
        assertThat(sent.get(20, TimeUnit.SECONDS)).isLessThan(EndlessRequest.MAX_SENT_BYTES);
        assertThat(handled).hasValue(0);
      } finally {
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
      }
    }
  }
}
