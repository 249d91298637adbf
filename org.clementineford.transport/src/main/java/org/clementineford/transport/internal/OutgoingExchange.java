package org.clementineford.transport.internal;

import org.clementineford.transport.Exchange;
import org.clementineford.transport.ExchangeFailure;
import org.clementineford.transport.ExchangeListener;
import org.clementineford.wire.Frame;
import org.clementineford.wire.FrameKind;
import org.clementineford.wire.Payload;

/** State of an exchange that this process opened. */
final class OutgoingExchange implements Exchange {
  private final ExchangeListener listener;
  private ConnectionHandler connection;
  private long number;
  private boolean ended;

  OutgoingExchange(ExchangeListener listener) {
    this.listener = listener;
  }

  synchronized void attach(ConnectionHandler connection, long number) {
    this.connection = connection;
    this.number = number;
  }

  /** Tells whether the exchange was cancelled before it was attached to a connection. */
  synchronized boolean isEnded() {
    return ended;
  }

  void received(Payload payload, boolean last) {
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = last;
    }
    listener.onPayload(payload, last);
  }

  void failed(ExchangeFailure failure) {
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
    }
    listener.onFailure(failure);
  }

  @Override
  public synchronized void send(Payload payload) {
    if (!ended && connection != null) {
      connection.write(new Frame(number, FrameKind.DATA).setPayload(payload));
    }
  }

  @Override
  public synchronized void cancel() {
    if (ended) {
      return;
    }
    ended = true;
    if (connection != null) {
      ConnectionHandler attached = connection;
      attached.context().executor().execute(() -> attached.forgetOutgoing(number));
      attached.write(new Frame(number, FrameKind.CANCEL));
    }
  }
}
