package org.clementineford.endpoint.internal.requests;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.clementineford.transport.IncomingExchange;
import org.clementineford.transport.PeerInfo;
import org.clementineford.wire.Payload;

/** Exchange that records the payloads that an entry VM would receive. */
final class RecordingExchange implements IncomingExchange {
  private final List<Payload> payloads = new ArrayList<>();
  private final CompletableFuture<Payload> last = new CompletableFuture<>();
  private final CompletableFuture<Payload> first = new CompletableFuture<>();
  private Runnable cancelAction;
  private Runnable writableAction;
  private boolean writable = true;

  @Override
  public PeerInfo peer() {
    return new PeerInfo(null, 0);
  }

  @Override
  public synchronized void send(Payload payload) {
    payloads.add(payload);
    first.complete(payload);
  }

  @Override
  public void finish(Payload payload) {
    send(payload);
    last.complete(payload);
  }

  @Override
  public void onCancel(Runnable action) {
    cancelAction = action;
  }

  @Override
  public void onPayload(Consumer<Payload> receiver) {}

  @Override
  public synchronized boolean isWritable() {
    return writable;
  }

  @Override
  public void onWritable(Runnable action) {
    writableAction = action;
  }

  void cancel() {
    cancelAction.run();
  }

  void setWritable(boolean writable) {
    synchronized (this) {
      this.writable = writable;
    }
    if (writable) {
      writableAction.run();
    }
  }

  Payload awaitFirst() throws Exception {
    return first.get(5, TimeUnit.SECONDS);
  }

  Payload awaitLast() throws Exception {
    return last.get(5, TimeUnit.SECONDS);
  }

  boolean isFinished() {
    return last.isDone();
  }

  synchronized List<Payload> payloads() {
    return List.copyOf(payloads);
  }

  String body() {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    for (Payload payload : payloads()) {
      if (payload.isSetAnswerPart()) {
        body.writeBytes(payload.getAnswerPart().getBytes());
      }
    }
    return body.toString(StandardCharsets.UTF_8);
  }
}
