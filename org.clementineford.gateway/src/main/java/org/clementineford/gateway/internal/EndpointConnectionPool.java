package org.clementineford.gateway.internal;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.agrona.concurrent.NanoClock;
import org.clementineford.gateway.RequestProtocol;
import org.clementineford.kernel.Scheduler;
import org.clementineford.serving.routing.EndpointState;
import org.clementineford.transport.http.InputEnd;
import org.clementineford.transport.http.UnsolicitedInput;

/** Pool of connections to endpoints that are reused between requests. Not thread-safe. */
final class EndpointConnectionPool {
  /** Connect timeout; connecting within and between regions takes a few milliseconds. */
  private static final int CONNECT_TIMEOUT_MS = 500;

  private final EventLoopGroup eventLoops;
  private final RequestProtocol protocol;
  private final NanoClock clock;
  private final EventLoopInput input;
  private final ResponseLimit.Total receivedBytes = new ResponseLimit.Total();
  private final Map<EndpointState, IdleConnections> idleConnections = new HashMap<>();

  EndpointConnectionPool(
      EventLoopGroup eventLoops, RequestProtocol protocol, NanoClock clock, EventLoopInput input) {
    this.eventLoops = eventLoops;
    this.protocol = protocol;
    this.clock = clock;
    this.input = input;
  }

  /**
   * Sends a request over an idle connection or a new one, unless the listener ends meanwhile. The
   * sockets are polled first, so that a request whose caller has left is not sent.
   *
   * @param repeatable true if the request may run more than once
   * @param guard returns an action that ends the request if the given one throws
   */
  void send(
      EndpointState endpoint,
      FullHttpRequest request,
      boolean repeatable,
      EndpointResponseListener listener,
      UnaryOperator<Runnable> guard) {
    input.runAfterPoll(
        guard.apply(() -> sendUnlessEnded(endpoint, request, repeatable, listener, guard)));
  }

  private void sendUnlessEnded(
      EndpointState endpoint,
      FullHttpRequest request,
      boolean repeatable,
      EndpointResponseListener listener,
      UnaryOperator<Runnable> guard) {
    if (listener.isEnded()) {
      request.release();
      return;
    }
    IdleConnections idle = idleConnections.computeIfAbsent(endpoint, IdleConnections::new);
    EndpointConnection reused = idle.take(repeatable);
    if (reused != null) {
      reused.send(request, listener);
    } else {
      connect(endpoint, idle, request, listener, guard);
    }
  }

  private void connect(
      EndpointState endpoint,
      IdleConnections idle,
      FullHttpRequest request,
      EndpointResponseListener listener,
      UnaryOperator<Runnable> guard) {
    open(
        endpoint,
        idle,
        (connection, failure) -> {
          if (connection != null) {
            input.runAfterPoll(guard.apply(() -> connection.send(request, listener)));
          } else {
            request.release();
            listener.onConnectionFailure(isRefused(failure), failure.getMessage());
          }
        });
  }

  /**
   * Opens a connection without a request, to find out whether an endpoint still runs. The
   * connection is kept for the next request.
   *
   * @param onResult receives true if the endpoint's host refused the connection, so that no process
   *     listens there; false if it was accepted or there was no response
   */
  void probe(EndpointState endpoint, Consumer<Boolean> onResult) {
    IdleConnections idle = idleConnections.computeIfAbsent(endpoint, IdleConnections::new);
    open(
        endpoint,
        idle,
        (connection, failure) -> {
          if (connection != null) {
            connection.becomeIdle();
          }
          onResult.accept(connection == null && isRefused(failure));
        });
  }

  private static boolean isRefused(Throwable failure) {
    return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
  }

  /** Opens a connection, and passes it or the cause of the failure on; the other one is null. */
  private void open(
      EndpointState endpoint,
      IdleConnections idle,
      BiConsumer<EndpointConnection, Throwable> onResult) {
    EndpointResponseDecoder decoder = new EndpointResponseDecoder();
    ResponseLimit limit = new ResponseLimit(receivedBytes);
    InputEnd inputEnd = new InputEnd();
    UnsolicitedInput unsolicited = new UnsolicitedInput();
    EndpointConnection connection =
        new EndpointConnection(protocol, clock, idle, decoder, limit, inputEnd, unsolicited);
    new Bootstrap()
        .group(eventLoops)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(
                        inputEnd,
                        unsolicited,
                        limit,
                        decoder,
                        new HttpRequestEncoder(),
                        connection);
              }
            })
        .connect(endpoint.endpoint().address().toSocketAddress())
        .addListener(
            (ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                onResult.accept(connection, null);
              } else {
                onResult.accept(null, connected.cause());
              }
            });
  }

  /**
   * Closes the idle connections to an endpoint, after a connection to it stopped responding. A
   * middlebox may have dropped the state of all of them, while a new connection works.
   */
  void closeIdle(EndpointState endpoint) {
    IdleConnections idle = idleConnections.get(endpoint);
    if (idle != null) {
      idle.closeAll();
    }
  }

  /** Closes the idle connections to an endpoint that is no longer used. */
  void remove(EndpointState endpoint) {
    IdleConnections idle = idleConnections.remove(endpoint);
    if (idle != null) {
      idle.removed = true;
      idle.closeAll();
    }
  }

  /** The idle connections to one endpoint, the most recently used one first. */
  final class IdleConnections {
    private final EndpointState endpoint;
    private final ArrayDeque<EndpointConnection> connections = new ArrayDeque<>();
    private boolean removed;

    IdleConnections(EndpointState endpoint) {
      this.endpoint = endpoint;
    }

    EndpointConnection take(boolean repeatable) {
      EndpointConnection connection = connections.peekFirst();
      if (connection != null && connection.isUsable(repeatable)) {
        return connections.pollFirst();
      }
      return null;
    }

    void add(EndpointConnection connection) {
      if (removed || endpoint.endpoint().leaving()) {
        connection.close();
      } else {
        connections.addFirst(connection);
      }
    }

    /**
     * Keeps a connection once the rest of an answered request is written. Closes it if the endpoint
     * does not read the rest in time.
     */
    void addWhenWritten(EndpointConnection connection, ChannelFuture written, long limitMs) {
      Scheduler.Cancellable limit =
          input.schedule(connection::cancel, limitMs, TimeUnit.MILLISECONDS);
      written.addListener(
          result -> {
            limit.cancel();
            connection.becomeIdle();
          });
    }

    void remove(EndpointConnection connection) {
      connections.remove(connection);
    }

    void closeAll() {
      List<EndpointConnection> all = new ArrayList<>(connections);
      connections.clear();
      all.forEach(EndpointConnection::close);
    }
  }
}
