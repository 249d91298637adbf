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

/** Outgoing connection to one address. The owner replaces it by a new one when it is lost. */
public final class PeerConnection {
  private final Channel channel;
  private final ConnectionHandler handler;
  private final List<Runnable> pendingStarts = new ArrayList<>();
  private State state = State.CONNECTING;

  /**
   * Starts to connect to an address.
   *
   * @param bootstrap template that sets event loops and the connect timeout
   * @param address address to connect to
   * @param shaping adds handlers to the connection
   * @param handlerFactory creates the channel handler from an action to run when the connection is
   *     closed
   * @param onLost runs once when the connection failed or was closed
   */
  public PeerConnection(
      Bootstrap bootstrap,
      HostPort address,
      LinkShaping shaping,
      Function<Runnable, ConnectionHandler> handlerFactory,
      Runnable onLost) {
    Runnable onClosed =
        () -> {
          changeState(State.CLOSED);
          onLost.run();
        };
    this.handler = handlerFactory.apply(onClosed);
    Supplier<ConnectionHandler> handlerSupplier = () -> handler;
    ChannelFuture connecting =
        bootstrap
            .clone()
            .handler(new PeerChannelInitializer(shaping, handlerSupplier))
            .connect(address.toSocketAddress());
    this.channel = connecting.channel();
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            changeState(State.OPEN);
          } else {
            onClosed.run();
          }
        });
  }

  /**
   * Opens an exchange as soon as the connection is established.
   *
   * @param firstPayload creates the first payload from the information received from the peer at
   *     that time
   * @param listener receives the replies
   * @return the exchange
   */
  public Exchange open(Function<PeerInfo, Payload> firstPayload, ExchangeListener listener) {
    OutgoingExchange exchange = new OutgoingExchange(listener);
    Runnable start = () -> start(exchange, firstPayload);
    synchronized (pendingStarts) {
      if (state == State.CONNECTING) {
        pendingStarts.add(start);
        return exchange;
      }
    }
    channel.eventLoop().execute(start);
    return exchange;
  }

  private void start(OutgoingExchange exchange, Function<PeerInfo, Payload> firstPayload) {
    if (exchange.isEnded()) {
      return;
    }
    if (!channel.isActive()) {
      exchange.fail(ExchangeFailure.NEVER_WRITTEN);
      return;
    }
    handler.open(exchange, firstPayload.apply(handler.peer()));
  }

  /**
   * Returns the information received from the peer.
   *
   * @return identity and last tick of the peer
   */
  public PeerInfo peer() {
    return handler.peer();
  }

  /**
   * Returns whether the connection failed or was closed.
   *
   * @return true if a new connection is needed
   */
  public boolean isLost() {
    synchronized (pendingStarts) {
      return state == State.CLOSED;
    }
  }

  /** Closes the connection if it is established and no exchange is open on it. */
  public void closeIfIdle() {
    synchronized (pendingStarts) {
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

  private void changeState(State newState) {
    List<Runnable> starts;
    synchronized (pendingStarts) {
      state = newState;
      starts = List.copyOf(pendingStarts);
      pendingStarts.clear();
    }
    starts.forEach(start -> channel.eventLoop().execute(start));
  }

  private enum State {
    CONNECTING,
    OPEN,
    CLOSED
  }
}
