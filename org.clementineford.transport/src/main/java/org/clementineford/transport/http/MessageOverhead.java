package org.clementineford.transport.http;

import io.netty.handler.codec.TooLongFrameException;

/**
 * Bounds the bytes of a message that are not part of its body: heads, lengths and extensions of
 * chunks, trailers. A faulty sender may send them without end, and a chunk of one byte costs as
 * much to decode as a large one. Not thread-safe.
 */
final class MessageOverhead {
  /**
   * Largest overhead in bytes, beside one byte for each byte of the body. A body of 200 KB fits in
   * chunks of one byte, and a body of any length in chunks of six bytes.
   */
  private static final long MAX_BYTES = 1L << 20;

  private long receivedBytes;
  private long bodyBytes;

  void startMessage() {
    receivedBytes = 0;
    bodyBytes = 0;
  }

  void addReceived(int bytes) {
    receivedBytes += bytes;
  }

  void addBody(int bytes) {
    bodyBytes += bytes;
  }

  /**
   * Returns whether the bound is exceeded. To be asked when the decoder has passed on all bytes of
   * the body; it keeps at most a part of a line.
   */
  boolean isExceeded() {
    return receivedBytes - bodyBytes > MAX_BYTES + bodyBytes;
  }

  TooLongFrameException failure() {
    return new TooLongFrameException(
        receivedBytes + " bytes received for " + bodyBytes + " bytes of a body");
  }
}
