package org.clementineford.entry.internal.requests;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Map;
import java.util.zip.CRC32C;
import org.clementineford.requests.claims.StoredAnswer;
import org.clementineford.transport.http.HttpExchange;

/**
 * The answer on its way to the caller. Nothing is sent before the first byte of the body (streams)
 * or the checked end (other answers), so that an attempt that fails earlier leaves no trace.
 *
 * <p>A stream that broke after its start goes on with the answer of another attempt only if that
 * answer starts with exactly the bytes that the caller has, so that the caller gets one whole
 * answer of one attempt.
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
  private final CRC32C sent = new CRC32C();
  private final CRC32C repeated = new CRC32C();
  private long sentLength;
  private long repeatedLength;
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

  /** Takes the head; returns false if it differs from the one that the caller has. */
  boolean head(int status, Map<String, String> headers) {
    if (started) {
      return status == this.status && headers.equals(this.headers);
    }
    this.status = status;
    this.headers = headers;
    return true;
  }

  /** Drops what a failed attempt delivered, but for what the caller has already. */
  void reset() {
    if (started) {
      repeatedLength = sentLength;
      repeated.reset();
      return;
    }
    whole = new ByteArrayOutputStream();
    length = 0;
    status = 0;
  }

  boolean isStarted() {
    return started;
  }

  int status() {
    return status;
  }

  /** What became of a part. */
  enum PartResult {
    TAKEN,
    CALLER_TOO_SLOW,
    DIFFERS_FROM_SENT
  }

  /** Takes a part of the body. */
  PartResult part(byte[] bytes) {
    if (repeatedLength > 0) {
      return repeatedPart(bytes);
    }
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
      PartResult result = send(whole.toByteArray());
      whole = new ByteArrayOutputStream();
      return result;
    }
    return PartResult.TAKEN;
  }

  private PartResult repeatedPart(byte[] bytes) {
    int count = (int) Math.min(repeatedLength, bytes.length);
    repeated.update(bytes, 0, count);
    repeatedLength -= count;
    if (repeatedLength > 0) {
      return PartResult.TAKEN;
    }
    if (repeated.getValue() != sent.getValue()) {
      return PartResult.DIFFERS_FROM_SENT;
    }
    return count == bytes.length
        ? PartResult.TAKEN
        : part(Arrays.copyOfRange(bytes, count, bytes.length));
  }

  private void start() {
    if (!started) {
      started = true;
      http.start(status, headers);
    }
  }

  private PartResult send(byte[] bytes) {
    sent.update(bytes);
    sentLength += bytes.length;
    waiting.add(bytes);
    waitingBytes += bytes.length;
    onWritable();
    return waitingBytes <= MAX_WAITING_BYTES ? PartResult.TAKEN : PartResult.CALLER_TOO_SLOW;
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

  /** Tells whether the answer is shorter than what the caller has. */
  boolean lacksSentBytes() {
    return repeatedLength > 0;
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
