package org.clementineford.testing;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Bytes that a faulty HTTP server sends in place of a response, until its client closes. */
public enum EndlessResponse {
  /** A status line without an end. */
  STATUS_LINE("", "x"),
  /** Header fields without an end. */
  HEADER_FIELDS("HTTP/1.1 200 OK\r\n", "a: b\r\n"),
  /** Line breaks before the status line. */
  LINE_BREAKS("", "\r\n"),
  /** Interim responses without a final one. */
  INTERIM_RESPONSES("", "HTTP/1.1 100 Continue\r\n\r\n"),
  /** Complete responses to a request with the ID "other". */
  RESPONSES_TO_OTHERS("", "HTTP/1.1 200 OK\r\nid: other\r\nContent-Length: 1\r\n\r\nx"),
  /** A body that would end with the connection. */
  BODY_UNTIL_CLOSE("HTTP/1.1 200 OK\r\nproof: p\r\n\r\n", "x"),
  /** A body with a very large length. */
  BODY_WITH_LENGTH("HTTP/1.1 200 OK\r\nproof: p\r\nContent-Length: 99999999999\r\n\r\n", "x"),
  /** A body in chunks without a last one. */
  BODY_CHUNKS("HTTP/1.1 200 OK\r\nproof: p\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
  /** A body in chunks with long extensions, without a last one. */
  CHUNK_EXTENSIONS(
      "HTTP/1.1 200 OK\r\nproof: p\r\nTransfer-Encoding: chunked\r\n\r\n",
      "1;" + "e".repeat(100) + "\r\nx\r\n"),
  /** The length of a chunk without an end. */
  CHUNK_LENGTH("HTTP/1.1 200 OK\r\nproof: p\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
  /** Trailer fields without an end. */
  TRAILERS("HTTP/1.1 200 OK\r\nproof: p\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n");

  /**
   * Bytes after which {@link #sendTo} gives up; many more than the buffers of a connection hold.
   */
  public static final long MAX_SENT_BYTES = 64L << 20;

  private static final int BLOCK_BYTES = 65_536;

  private final String start;
  private final String part;

  EndlessResponse(String start, String part) {
    this.start = start;
    this.part = part;
  }

  /**
   * Sends until the client closes the connection.
   *
   * @param output output of the connection
   * @return number of bytes; {@link #MAX_SENT_BYTES} or more if the client did not close
   */
  public long sendTo(OutputStream output) {
    byte[] block = part.repeat(BLOCK_BYTES / part.length()).getBytes(StandardCharsets.US_ASCII);
    long sent = 0;
    try {
      output.write(start.getBytes(StandardCharsets.US_ASCII));
      while (sent < MAX_SENT_BYTES) {
        output.write(block);
        sent += block.length;
      }
    } catch (IOException e) {
      return sent; // The client closed the connection.
    }
    return sent;
  }
}
