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
 * #MAX_QUEUED_BYTES}. The caller sees no effect of an attempt that fails before the start.
 *
 * <p>If an attempt fails after the start, the response continues with the answer of another attempt
 * only if that answer begins with exactly the bytes that were already sent. The caller thus gets
 * the complete answer of a single attempt.
 *
 * <p>Bytes for a slow caller are queued here. A caller for which more than {@link
 * #MAX_QUEUED_BYTES} are queued is disconnected, because frames of other requests share the
 * connection to the endpoint, so one request cannot be throttled on its own. Not thread-safe.
 */
final class CallerResponse {
  static final int MAX_QUEUED_BYTES = 1 << 20;
  static final int MAX_STORED_BYTES = 256 << 10;

  private final HttpExchange http;
  private final boolean stream;
  private final ArrayDeque<byte[]> queue = new ArrayDeque<>();
  private ByteArrayOutputStream buffered = new ByteArrayOutputStream();
  private final CRC32C sentChecksum = new CRC32C();
  private final CRC32C repeatedChecksum = new CRC32C();
  private long sentLength;
  private long lengthToRepeat;
  private long queuedBytes;
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
  void discardAttempt() {
    if (started) {
      lengthToRepeat = sentLength;
      repeatedChecksum.reset();
      return;
    }
    buffered = new ByteArrayOutputStream();
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
    if (lengthToRepeat > 0) {
      return verifyRepeatedPart(bytes);
    }
    length += bytes.length;
    if (length <= MAX_STORED_BYTES || !(stream || started)) {
      buffered.writeBytes(bytes);
    }
    if (stream || started) {
      start();
      return enqueue(bytes);
    }
    if (length > MAX_QUEUED_BYTES) {
      start();
      PartResult result = enqueue(buffered.toByteArray());
      buffered = new ByteArrayOutputStream();
      return result;
    }
    return PartResult.TAKEN;
  }

  private PartResult verifyRepeatedPart(byte[] bytes) {
    int count = (int) Math.min(lengthToRepeat, bytes.length);
    repeatedChecksum.update(bytes, 0, count);
    lengthToRepeat -= count;
    if (lengthToRepeat > 0) {
      return PartResult.TAKEN;
    }
    if (repeatedChecksum.getValue() != sentChecksum.getValue()) {
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

  private PartResult enqueue(byte[] bytes) {
    sentChecksum.update(bytes);
    sentLength += bytes.length;
    queue.add(bytes);
    queuedBytes += bytes.length;
    onWritable();
    return queuedBytes <= MAX_QUEUED_BYTES ? PartResult.TAKEN : PartResult.CALLER_TOO_SLOW;
  }

  /** Writes queued bytes while the connection is writable. */
  void onWritable() {
    while (!queue.isEmpty() && http.isWritable()) {
      byte[] bytes = queue.poll();
      queuedBytes -= bytes.length;
      http.write(bytes);
    }
    if (complete && started && !finished && queue.isEmpty()) {
      finished = true;
      http.finish();
      onFinished.run();
    }
  }

  /** Returns whether the answer has not yet repeated all bytes that were already sent. */
  boolean isShorterThanSent() {
    return lengthToRepeat > 0;
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
      http.respond(status, headers, buffered.toByteArray());
      onFinished.run();
    }
  }

  /** Returns the answer for storage, or null if it exceeds {@link #MAX_STORED_BYTES}. */
  StoredAnswer storedAnswer() {
    return length <= MAX_STORED_BYTES
        ? new StoredAnswer(status, headers, buffered.toByteArray())
        : null;
  }

  void respond(int status, Map<String, String> headers, byte[] body) {
    http.respond(status, headers, body);
  }

  void abort() {
    http.abort();
  }
}
