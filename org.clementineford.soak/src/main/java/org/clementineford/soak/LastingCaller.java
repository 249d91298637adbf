package org.clementineford.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.platform.standin.PlatformFiles;

/**
 * A caller that keeps one connection and sends one long stream after the other on it, until it
 * closes. Then it connects to an entry VM that is ready.
 */
final class LastingCaller {
  /** Longest pause between two streams, in milliseconds. */
  private static final int LONGEST_PAUSE_MS = 200;

  /** Time after a failed connection or a refusal until the next one, in milliseconds. */
  private static final long RETRY_MS = 200;

  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int MAX_BODY_BYTES = 1 << 16;

  private final Callers callers;
  private final EventLoop loop;
  private final Random random;
  private final NanoClock clock;
  private volatile boolean stopped;

  /** Creates a caller that is not connected yet; a seeded one makes the same pauses and streams. */
  LastingCaller(Callers callers, EventLoop loop, Random random, NanoClock clock) {
    this.callers = callers;
    this.loop = loop;
    this.random = random;
    this.clock = clock;
  }

  void start() {
    loop.execute(this::connect);
  }

  /** Sends no further streams; the one in progress goes on. */
  void stop() {
    stopped = true;
  }

  private void connect() {
    if (stopped) {
      return;
    }
    Program entry = callers.anyReady(random);
    HostPort address = new HostPort(callers.host(entry), PlatformFiles.CALLER_PORT);
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(
                        new HttpClientCodec(),
                        new HttpObjectAggregator(MAX_BODY_BYTES),
                        new Connection(entry));
              }
            })
        .connect(address.toSocketAddress())
        .addListener(
            (ChannelFuture connected) -> {
              if (!connected.isSuccess()) {
                schedule(this::connect, RETRY_MS);
              }
            });
  }

  private void schedule(Runnable action, long delayMs) {
    loop.schedule(action, delayMs, TimeUnit.MILLISECONDS);
  }

  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final Program entry;
    private Call call;
    private boolean answered;

    Connection(Program entry) {
      this.entry = entry;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      send(context);
    }

    private void send(ChannelHandlerContext context) {
      if (stopped || !context.channel().isActive()) {
        context.close();
        return;
      }
      int tokens =
          CallKind.LONG_ANSWER_TOKENS
              + random.nextInt(CallKind.LONGEST_ANSWER_TOKENS - CallKind.LONG_ANSWER_TOKENS + 1);
      Call sent = callers.begin(random, CallKind.LONG_STREAM, Callers.KEPT_KEYS, entry, answered);
      call = sent;
      FullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, HttpMethod.valueOf(sent.kind().method()), sent.target());
      sent.headers(tokens).forEach(request.headers()::set);
      HttpUtil.setContentLength(request, 0);
      context.writeAndFlush(request);
      schedule(
          () -> {
            if (call == sent) {
              context.close();
            }
          },
          sent.kind().timeoutMs() + Callers.LEAVE_MS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
      response.headers().forEach(header -> headers.put(header.getKey(), header.getValue()));
      int status = response.status().code();
      String body = response.content().toString(StandardCharsets.UTF_8);
      CallerRecord record = call.end(clock.nanoTime(), status, headers, body);
      call = null;
      answered = true;
      callers.add(record);
      if (!HttpUtil.isKeepAlive(response)) {
        context.close();
      } else if (record.isServed()) {
        int pauseMs = random.nextBoolean() ? 0 : random.nextInt(LONGEST_PAUSE_MS);
        sendAfter(context, pauseMs);
      } else {
        sendAfter(context, RETRY_MS);
      }
    }

    private void sendAfter(ChannelHandlerContext context, long pauseMs) {
      if (pauseMs == 0) {
        send(context);
      } else {
        schedule(() -> send(context), pauseMs);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (call != null) {
        callers.add(call.end(clock.nanoTime(), 0, Map.of(), ""));
        call = null;
      }
      schedule(LastingCaller.this::connect, random.nextInt(LONGEST_PAUSE_MS));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
