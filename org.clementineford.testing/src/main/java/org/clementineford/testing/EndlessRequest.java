package org.clementineford.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Bodies of requests that a faulty caller sends in small chunks, until its connection closes. */
public enum EndlessRequest {
  /** Chunks of one byte. */
  BODY_CHUNKS("1\r\nx\r\n"),
  /** Chunks of one byte with long extensions. */
  CHUNK_EXTENSIONS("1;" + "e".repeat(100) + "\r\nx\r\n"),
  /** Chunks of one byte with a length of many digits. */
  CHUNK_LENGTHS("0000000000000001\r\nx\r\n");

  /**
   * Bytes after which {@link #sendTo} gives up; many more than the buffers of a connection hold.
   */
  public static final long MAX_SENT_BYTES = 64L << 20;

  private static final int BLOCK_BYTES = 65_536;

  private final String chunk;

  EndlessRequest(String chunk) {
    this.chunk = chunk;
  }

  /**
   * Sends until the server closes the connection.
   *
   * @param socket the connection
   * @param head request line and header fields, each with its line break
   * @return number of bytes; {@link #MAX_SENT_BYTES} or more if the server did not close
   */
  public long sendTo(Socket socket, String head) {
    byte[] start =
        (head + "Host: 127.0.0.1\r\nTransfer-Encoding: chunked\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII);
    byte[] block = chunk.repeat(BLOCK_BYTES / chunk.length()).getBytes(StandardCharsets.US_ASCII);
    try {
      socket.getOutputStream().write(start);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    long sent = 0;
    try {
      while (sent < MAX_SENT_BYTES) {
        socket.getOutputStream().write(block);
        sent += block.length;
      }
    } catch (IOException e) {
      return sent; // The server closed the connection.
    }
    return sent;
  }
}
