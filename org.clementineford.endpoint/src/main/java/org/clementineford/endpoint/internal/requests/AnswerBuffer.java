package org.clementineford.endpoint.internal.requests;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import org.clementineford.wire.AnswerEnd;
import org.clementineford.wire.AnswerHead;
import org.clementineford.wire.AnswerPart;
import org.clementineford.wire.Payload;

/**
 * Buffer for the parts of an answer as they arrive. Guarded by the lock of its run until the answer
 * is complete.
 */
final class AnswerBuffer {
  /** Maximum length of an answer that is stored for replay; longer answers are only streamed. */
  static final long MAX_STORED_BYTES = 4 << 20;

  private final String requestId;
  private final List<byte[]> parts = new ArrayList<>();
  private final CRC32C checksum = new CRC32C();
  private final CostMeter cost = new CostMeter();
  private AnswerHead head;
  private long length;
  private boolean stored = true;
  private AnswerEnd end;

  AnswerBuffer(String requestId) {
    this.requestId = requestId;
  }

  Payload start(AnswerHead head) {
    this.head = head;
    return Payload.answerHead(head);
  }

  AnswerHead head() {
    return head;
  }

  boolean hasStarted() {
    return head != null;
  }

  long length() {
    return length;
  }

  /** Returns whether all parts received so far are stored. */
  boolean isStored() {
    return stored;
  }

  Payload append(byte[] bytes) {
    final Payload part = part(length, bytes);
    checksum.update(bytes);
    cost.append(bytes);
    length += bytes.length;
    if (stored && length <= MAX_STORED_BYTES) {
      parts.add(bytes);
    } else {
      stored = false;
      parts.clear();
    }
    return part;
  }

  private Payload part(long offset, byte[] bytes) {
    return Payload.answerPart(new AnswerPart(requestId, offset, ByteBuffer.wrap(bytes)));
  }

  Payload complete(long estimatedCost) {
    end = new AnswerEnd(requestId, length, checksum.getValue(), cost.tokens(estimatedCost));
    return Payload.answerEnd(end);
  }

  /** Returns the actual cost of a complete answer in tokens. */
  long actualCost() {
    return end.getActualCostTokens();
  }

  /** Returns the payloads for everything received so far, in order. */
  List<Payload> payloads() {
    List<Payload> payloads = new ArrayList<>();
    if (head != null) {
      payloads.add(Payload.answerHead(head));
    }
    long offset = 0;
    for (byte[] bytes : parts) {
      payloads.add(part(offset, bytes));
      offset += bytes.length;
    }
    if (end != null) {
      payloads.add(Payload.answerEnd(end));
    }
    return payloads;
  }

  /**
   * Merges the parts into one array; many small arrays take several times the memory of their
   * content.
   */
  void compact() {
    if (parts.size() > 1) {
      byte[] body = body();
      parts.clear();
      parts.add(body);
    }
  }

  byte[] body() {
    ByteBuffer body = ByteBuffer.allocate((int) length);
    parts.forEach(body::put);
    return body.array();
  }
}
