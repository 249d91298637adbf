package org.clementineford.testing;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Responses to cut off at each length, by the way in which they tell their end. */
public enum CutResponse {
  /** A body with a length. */
  LENGTH("Content-Length: 4\r\n\r\nbody"),
  /** A body in chunks. */
  CHUNKS("Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"),
  /** A body that ends with its connection. */
  CONNECTION("Connection: close\r\n\r\nbody") {
    @Override
    public boolean mayBeComplete(int sentBytes, Ending ending, String headers) {
      return ending == Ending.CLOSE && sentBytes > length(headers) - "body".length() - 1;
    }
  };

  /** The body of each response. */
  public static final String BODY = "body";

  private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";

  private final String rest;

  CutResponse(String rest) {
    this.rest = rest;
  }

  /**
   * Returns the length of the response.
   *
   * @param headers header lines to add, each with its line end
   * @return length of head and body, in bytes
   */
  public int length(String headers) {
    return STATUS_LINE.length() + headers.length() + rest.length();
  }

  /**
   * Returns whether a client may take what it received for a complete response.
   *
   * @param sentBytes length after which the response was cut off, in bytes
   * @param ending how the connection ended
   * @param headers header lines of the response
   * @return false if only a failure is right
   */
  public boolean mayBeComplete(int sentBytes, Ending ending, String headers) {
    return sentBytes == length(headers);
  }

  /**
   * Sends the beginning of the response and ends the connection.
   *
   * @param socket connection to the client
   * @param headers header lines to add, each with its line end
   * @param bytes number of bytes to send
   * @param ending how to end the connection
   * @throws IOException if the client has closed the connection
   */
  public void send(Socket socket, String headers, int bytes, Ending ending) throws IOException {
    String response = STATUS_LINE + headers + rest;
    socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII), 0, bytes);
    ending.end(socket);
  }

  /** Ways in which a server ends a connection. */
  public enum Ending {
    /** In order, as a server does that is done, or that is killed after it has read all. */
    CLOSE {
      @Override
      void end(Socket socket) throws IOException {
        socket.close();
      }
    },
    /** By a reset, as the system of a killed server does that has not read all. */
    RESET {
      @Override
      void end(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
      }
    };

    abstract void end(Socket socket) throws IOException;
  }
}
