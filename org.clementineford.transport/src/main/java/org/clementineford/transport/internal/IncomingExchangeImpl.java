package org.clementineford.transport.internal;

import java.util.function.Consumer;
import org.clementineford.transport.IncomingExchange;
import org.clementineford.transport.PeerInfo;
import org.clementineford.wire.Frame;
import org.clementineford.wire.FrameKind;
import org.clementineford.wire.Payload;

/** State of an exchange opened by the peer. */
final class IncomingExchangeImpl implements IncomingExchange {
  private final ConnectionHandler connection;
  private final long number;
  private Runnable cancelAction;
  private Runnable writableAction;
  private Consumer<Payload> receiver;
  private boolean finished;
  private boolean cancelled;

  IncomingExchangeImpl(ConnectionHandler connection, long number) {
    this.connection = connection;
    this.number = number;
  }

  @Override
  public PeerInfo peer() {
    return connection.peer();
  }

  @Override
  public synchronized void send(Payload payload) {
    if (!finished && !cancelled) {
      connection.write(new Frame(number, FrameKind.DATA).setPayload(payload));
    }
  }

  @Override
  public synchronized void finish(Payload payload) {
    if (finished || cancelled) {
      return;
    }
    finished = true;
    connection.write(new Frame(number, FrameKind.LAST).setPayload(payload));
    connection.context().executor().execute(() -> connection.removeIncoming(number));
  }

  @Override
  public void onCancel(Runnable action) {
    synchronized (this) {
      if (!cancelled) {
        cancelAction = action;
        return;
      }
    }
    action.run();
  }

  @Override
  public synchronized void onPayload(Consumer<Payload> receiver) {
    this.receiver = receiver;
  }

  @Override
  public boolean isWritable() {
    return connection.context().channel().isWritable();
  }

  @Override
  public synchronized void onWritable(Runnable action) {
    writableAction = action;
  }

  void handlePayload(Payload payload) {
    Consumer<Payload> current;
    synchronized (this) {
      current = receiver;
    }
    if (current != null) {
      current.accept(payload);
    }
  }

  void handleWritable() {
    Runnable current;
    synchronized (this) {
      current = writableAction;
    }
    if (current != null) {
      current.run();
    }
  }

  void handleCancel() {
    Runnable current;
    synchronized (this) {
      if (finished || cancelled) {
        return;
      }
      cancelled = true;
      current = cancelAction;
    }
    if (current != null) {
      current.run();
    }
  }
}
