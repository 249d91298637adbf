package org.clementineford.gateway.internal;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.agrona.concurrent.NanoClock;
import org.clementineford.gateway.RequestProtocol;
import org.clementineford.serving.routing.AttemptOutcome;
import org.clementineford.serving.routing.EndpointState;

/** Pool of connections to endpoints that are reused between requests. Not thread-safe. */
final class EndpointPool {
  /** Connect timeout; connecting within and between regions takes a few milliseconds. */
  private static final int CONNECT_TIMEOUT_MS = 500;

  private final EventLoopGroup eventLoops;
  private final RequestProtocol protocol;
  private final NanoClock clock;
  private final Map<EndpointState, Owner> owners = new HashMap<>();

  EndpointPool(EventLoopGroup eventLoops, RequestProtocol protocol, NanoClock clock) {
    this.eventLoops = eventLoops;
    this.protocol = protocol;
    this.clock = clock;
  }

  /**
   * Sends a request over an idle connection or a new one.
   *
   * @param repeatable true if the request may run more than once
   */
  void send(
      EndpointState endpoint, FullHttpRequest request, boolean repeatable, EndpointCall call) {
    Owner owner = owners.computeIfAbsent(endpoint, key -> new Owner());
    EndpointConnection kept = owner.take(repeatable);
    if (kept != null) {
      kept.send(request, call);
    } else {
      connect(endpoint, owner, request, call);
    }
  }

  private void connect(
      EndpointState endpoint, Owner owner, FullHttpRequest request, EndpointCall call) {
    AnswerDecoder decoder = new AnswerDecoder();
    EndpointConnection connection = new EndpointConnection(protocol, clock, owner, decoder);
    new Bootstrap()
        .group(eventLoops)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel.pipeline().addLast(decoder, new HttpRequestEncoder(), connection);
              }
            })
        .connect(endpoint.endpoint().address().toSocketAddress())
        .addListener(
            (ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                connection.send(request, call);
              } else {
                request.release();
                call.failed(AttemptOutcome.NOT_CONNECTED, connected.cause().getMessage());
              }
            });
  }

  /**
   * Closes the idle connections to an endpoint, after a connection to it stopped responding. A
   * middlebox may have dropped the state of all of them, while a new connection works.
   */
  void closeIdle(EndpointState endpoint) {
    Owner owner = owners.get(endpoint);
    if (owner != null) {
      owner.closeIdle();
    }
  }

  /** Closes the idle connections to an endpoint that is no longer used. */
  void remove(EndpointState endpoint) {
    Owner owner = owners.remove(endpoint);
    if (owner != null) {
      owner.removed = true;
      owner.closeIdle();
    }
  }

  /** The idle connections to one endpoint, the most recently used one first. */
  final class Owner {
    private final ArrayDeque<EndpointConnection> idle = new ArrayDeque<>();
    private boolean removed;

    EndpointConnection take(boolean repeatable) {
      EndpointConnection connection = idle.peekFirst();
      if (connection != null && connection.isUsable(repeatable)) {
        return idle.pollFirst();
      }
      return null;
    }

    void keep(EndpointConnection connection) {
      if (removed) {
        connection.close();
      } else {
        idle.addFirst(connection);
      }
    }

    void discard(EndpointConnection connection) {
      idle.remove(connection);
    }

    void closeIdle() {
      List<EndpointConnection> all = new ArrayList<>(idle);
      idle.clear();
      all.forEach(EndpointConnection::close);
    }
  }
}
