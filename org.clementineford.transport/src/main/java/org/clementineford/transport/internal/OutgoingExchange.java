package org.clementineford.transport.internal;

import org.clementineford.transport.Exchange;
import org.clementineford.transport.ExchangeFailure;
import org.clementineford.transport.ExchangeListener;
import org.clementineford.wire.Frame;
import org.clementineford.wire.FrameKind;
import org.clementineford.wire.Payload;

/** State of an exchange opened by this process. */
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

  /**
   * Returns whether the exchange has ended. Before it is attached to a connection, this means that
   * it was cancelled.
   */
  synchronized boolean isEnded() {
    return ended;
  }

  void handlePayload(Payload payload, boolean last) {
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = last;
    }
    listener.onPayload(payload, last);
  }

  void fail(ExchangeFailure failure) {
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
      attached.context().executor().execute(() -> attached.removeOutgoing(number));
      attached.write(new Frame(number, FrameKind.CANCEL));
    }
  }
}
