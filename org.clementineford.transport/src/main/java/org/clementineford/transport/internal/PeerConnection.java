package org.clementineford.transport.internal;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;
import org.clementineford.kernel.HostPort;
import org.clementineford.transport.Exchange;
import org.clementineford.transport.ExchangeFailure;
import org.clementineford.transport.ExchangeListener;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.PeerInfo;
import org.clementineford.wire.Payload;

/** A connection to one address, made when first needed. It is replaced by a new one when lost. */
public final class PeerConnection {
  private final Channel channel;
  private final ConnectionHandler handler;
  private final List<Runnable> waiting = new ArrayList<>();
  private State state = State.CONNECTING;

  /**
   * Starts to connect.
   *
   * @param bootstrap template with event loops and timeouts
   * @param address where to connect
   * @param shaping limits of the link
   * @param handlers makes the state of the connection, given what to run when it is closed
   * @param onLost runs once when the connection failed or was closed
   */
  public PeerConnection(
      Bootstrap bootstrap,
      HostPort address,
      LinkShaping shaping,
      Function<Runnable, ConnectionHandler> handlers,
      Runnable onLost) {
    Runnable closed =
        () -> {
          settle(State.CLOSED);
          onLost.run();
        };
    this.handler = handlers.apply(closed);
    Supplier<ConnectionHandler> single = () -> handler;
    ChannelFuture connecting =
        bootstrap
            .clone()
            .handler(new PeerChannelInitializer(shaping, single))
            .connect(address.toSocketAddress());
    this.channel = connecting.channel();
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            settle(State.OPEN);
          } else {
            closed.run();
          }
        });
  }

  /**
   * Opens an exchange as soon as the connection stands.
   *
   * @param opening makes the first payload from what is known about the peer at that time
   * @param listener receives the replies
   * @return the exchange
   */
  public Exchange open(Function<PeerInfo, Payload> opening, ExchangeListener listener) {
    OutgoingExchange exchange = new OutgoingExchange(listener);
    Runnable start = () -> start(exchange, opening);
    synchronized (waiting) {
      if (state == State.CONNECTING) {
        waiting.add(start);
        return exchange;
      }
    }
    channel.eventLoop().execute(start);
    return exchange;
  }

  private void start(OutgoingExchange exchange, Function<PeerInfo, Payload> opening) {
    if (exchange.isEnded()) {
      return;
    }
    if (!channel.isActive()) {
      exchange.failed(ExchangeFailure.NEVER_WRITTEN);
      return;
    }
    handler.open(exchange, opening.apply(handler.peer()));
  }

  /**
   * Returns what is known about the peer.
   *
   * @return identity and last tick
   */
  public PeerInfo peer() {
    return handler.peer();
  }

  /**
   * Tells whether the connection failed or was closed.
   *
   * @return true if a new connection is needed
   */
  public boolean isLost() {
    synchronized (waiting) {
      return state == State.CLOSED;
    }
  }

  /** Closes the connection unless an exchange is open on it or it is not established yet. */
  public void closeIfIdle() {
    synchronized (waiting) {
      if (state != State.OPEN) {
        return;
      }
    }
    channel.eventLoop().execute(handler::closeIfIdle);
  }

  /** Closes the connection; its exchanges fail. */
  public void close() {
    channel.close();
  }

  private void settle(State settled) {
    List<Runnable> ready;
    synchronized (waiting) {
      state = settled;
      ready = List.copyOf(waiting);
      waiting.clear();
    }
    ready.forEach(start -> channel.eventLoop().execute(start));
  }

  private enum State {
    CONNECTING,
    OPEN,
    CLOSED
  }
}
