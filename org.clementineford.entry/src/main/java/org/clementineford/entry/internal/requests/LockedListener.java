package org.clementineford.entry.internal.requests;

import org.clementineford.transport.ExchangeFailure;
import org.clementineford.transport.ExchangeListener;
import org.clementineford.wire.Payload;

/** Calls a listener with a lock held, since events arrive on the threads of several connections. */
final class LockedListener implements ExchangeListener {
  private final Object lock;
  private final ExchangeListener listener;

  LockedListener(Object lock, ExchangeListener listener) {
    this.lock = lock;
    this.listener = listener;
  }

  @Override
  public void onPayload(Payload payload, boolean last) {
    synchronized (lock) {
      listener.onPayload(payload, last);
    }
  }

  @Override
  public void onFailure(ExchangeFailure failure) {
    synchronized (lock) {
      listener.onFailure(failure);
    }
  }
}
