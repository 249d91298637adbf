package org.clementineford.entry.internal.requests;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Map;
import java.util.zip.CRC32C;
import org.clementineford.requests.claims.StoredAnswer;
import org.clementineford.transport.http.HttpExchange;

/**
 * The response to a caller. A stream starts with the first byte of the body; any other response
 * starts when the end of the answer has been verified, or when its body exceeds {@link
 * #MAX_WAITING_BYTES}. The caller sees no effect of an attempt that fails before the start.
 *
 * <p>If an attempt fails after the start, the response continues with the answer of another attempt
 * only if that answer begins with exactly the bytes that were already sent. The caller thus gets
 * the complete answer of a single attempt.
 *
 * <p>Bytes for a slow caller are queued here. A caller for which more than {@link
 * #MAX_WAITING_BYTES} are queued is disconnected, because frames of other requests share the
 * connection to the endpoint, so one request cannot be throttled on its own. Not thread-safe.
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

  /** Sets status and headers; returns false if they differ from those already sent. */
  boolean head(int status, Map<String, String> headers) {
    if (started) {
      return status == this.status && headers.equals(this.headers);
    }
    this.status = status;
    this.headers = headers;
    return true;
  }

  /**
   * Discards the data of a failed attempt. If the response has started, the next attempt must
   * repeat the bytes that were already sent.
   */
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

  /** Result of adding a part of the body. */
  enum PartResult {
    TAKEN,
    CALLER_TOO_SLOW,
    DIFFERS_FROM_SENT
  }

  /** Adds a part of the body. */
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

  /** Writes queued bytes while the connection is writable. */
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

  /** Returns whether the answer has not yet repeated all bytes that were already sent. */
  boolean lacksSentBytes() {
    return repeatedLength > 0;
  }

  /**
   * Completes the response after the complete body has been received and verified.
   *
   * @param onFinished runs after the last byte has been written
   */
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

  /** Returns the answer for storage, or null if it exceeds {@link #MAX_KEPT_BYTES}. */
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
