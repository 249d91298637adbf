package org.clementineford.entry.internal.requests;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.clementineford.transport.http.HttpExchange;
import org.clementineford.transport.http.HttpRequest;

/** HTTP exchange of a caller that records the response. */
final class FakeCall implements HttpExchange {
  private final HttpRequest request;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  int status;
  Map<String, String> headers = Map.of();
  boolean complete;
  boolean aborted;
  boolean writable = true;
  Runnable closed = () -> {};
  Runnable onWritable = () -> {};

  FakeCall(String method, String target, Map<String, String> headers, String body) {
    this.request = new HttpRequest(method, target, headers, body.getBytes(StandardCharsets.UTF_8));
  }

  String body() {
    return body.toString(StandardCharsets.UTF_8);
  }

  String run() {
    return headers.get("Clementineford-Run");
  }

  boolean isOpen() {
    return !complete && !aborted;
  }

  @Override
  public HttpRequest request() {
    return request;
  }

  @Override
  public void respond(int status, Map<String, String> headers, byte[] bytes) {
    start(status, headers);
    body.writeBytes(bytes);
    complete = true;
  }

  @Override
  public void start(int status, Map<String, String> headers) {
    if (this.status != 0) {
      throw new IllegalStateException("a request was answered twice");
    }
    this.status = status;
    this.headers = headers;
  }

  @Override
  public void write(byte[] bytes) {
    body.writeBytes(bytes);
  }

  @Override
  public void finish() {
    complete = true;
  }

  @Override
  public void abort() {
    aborted = true;
  }

  @Override
  public void onClosed(Runnable action) {
    closed = action;
  }

  @Override
  public boolean isWritable() {
    return writable;
  }

  @Override
  public void onWritable(Runnable action) {
    onWritable = action;
  }
}
