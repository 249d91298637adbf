package org.clementineford.entry.internal.requests;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Map;
import org.clementineford.requests.claims.StoredAnswer;
import org.clementineford.transport.http.HttpExchange;

/**
 * The answer on its way to the caller. Nothing is sent before the first byte of the body (streams)
 * or the checked end (other answers), so that an attempt that fails earlier leaves no trace.
 *
 * <p>A slow caller makes bytes wait here. A caller that lets more than {@link #MAX_WAITING_BYTES}
 * wait is disconnected, because frames of other requests share the connection to the endpoint and
 * cannot be held back for one of them. Not safe for use by several threads.
 */
final class CallerResponse {
  static final int MAX_WAITING_BYTES = 1 << 20;
  static final int MAX_KEPT_BYTES = 256 << 10;

  private final HttpExchange http;
  private final boolean stream;
  private final ArrayDeque<byte[]> waiting = new ArrayDeque<>();
  private ByteArrayOutputStream whole = new ByteArrayOutputStream();
  private long waitingBytes;
  private long length;
  private int status;
  private Map<String, String> headers = Map.of();
  private boolean started;
  private boolean complete;
  private boolean finished;
  private Runnable onFinished = () -> {};

  CallerResponse(HttpExchange http, boolean stream) {
    this.http = http;
    this.stream = stream;
  }

  void head(int status, Map<String, String> headers) {
    this.status = status;
    this.headers = headers;
  }

  /** Drops what a failed attempt delivered. Must not be called after the response started. */
  void reset() {
    whole = new ByteArrayOutputStream();
    length = 0;
    status = 0;
  }

  boolean isStarted() {
    return started;
  }

  boolean hasHead() {
    return status != 0;
  }

  int status() {
    return status;
  }

  /** Takes a part of the body; returns false if the caller is too slow. */
  boolean part(byte[] bytes) {
    length += bytes.length;
    if (length <= MAX_KEPT_BYTES || !(stream || started)) {
      whole.writeBytes(bytes);
    }
    if (stream || started) {
      start();
      return send(bytes);
    }
    if (length > MAX_WAITING_BYTES) {
      start();
      boolean kept = send(whole.toByteArray());
      whole = new ByteArrayOutputStream();
      return kept;
    }
    return true;
  }

  private void start() {
    if (!started) {
      started = true;
      http.start(status, headers);
    }
  }

  private boolean send(byte[] bytes) {
    waiting.add(bytes);
    waitingBytes += bytes.length;
    onWritable();
    return waitingBytes <= MAX_WAITING_BYTES;
  }

  /** Sends what waits, as far as the connection takes it. */
  void onWritable() {
    while (!waiting.isEmpty() && http.isWritable()) {
      byte[] bytes = waiting.poll();
      waitingBytes -= bytes.length;
      http.write(bytes);
    }
    if (complete && started && !finished && waiting.isEmpty()) {
      finished = true;
      http.finish();
      onFinished.run();
    }
  }

  /** The whole body was received and checked; the action runs once the last byte was written. */
  void end(Runnable onFinished) {
    this.onFinished = onFinished;
    complete = true;
    if (started) {
      onWritable();
    } else {
      http.respond(status, headers, whole.toByteArray());
      onFinished.run();
    }
  }

  /** Returns the answer if it is small enough to keep, else null. */
  StoredAnswer kept() {
    return length <= MAX_KEPT_BYTES ? new StoredAnswer(status, headers, whole.toByteArray()) : null;
  }

  void respond(int status, Map<String, String> headers, byte[] body) {
    http.respond(status, headers, body);
  }

  void abort() {
    http.abort();
  }
}
