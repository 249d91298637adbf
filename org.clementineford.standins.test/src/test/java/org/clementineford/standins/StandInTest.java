package org.clementineford.standins;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.testing.VirtualTime;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Base class of tests that start stand-ins on virtual time and call them. */
abstract class StandInTest {
  protected static final long WAIT_SECONDS = 10;

  protected final VirtualTime time = new VirtualTime(1_000_000);
  protected EventLoopGroup eventLoops;
  protected HttpClient client;
  private final List<HttpStandIn> started = new ArrayList<>();

  @BeforeEach
  void startClient() {
    eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    client = new HttpClient(eventLoops, LinkShaping.NONE);
  }

  @AfterEach
  void stop() {
    client.close();
    started.forEach(HttpStandIn::close);
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  protected StandInContext context() {
    return new StandInContext(eventLoops, new HostPort("127.0.0.1", 0), time, time, 1);
  }

  protected <T extends HttpStandIn> T started(T standIn) throws Exception {
    standIn.start();
    started.add(standIn);
    return standIn;
  }

  protected HttpResponse call(
      HttpStandIn standIn, String method, String target, Map<String, String> headers, String body)
      throws Exception {
    return client
        .call(standIn.address(), request(method, target, headers, body), 5000)
        .get(WAIT_SECONDS, TimeUnit.SECONDS);
  }

  protected static HttpRequest request(
      String method, String target, Map<String, String> headers, String body) {
    return new HttpRequest(method, target, headers, body.getBytes(StandardCharsets.UTF_8));
  }

  protected static String text(HttpResponse response) {
    return new String(response.body(), StandardCharsets.UTF_8);
  }
}
