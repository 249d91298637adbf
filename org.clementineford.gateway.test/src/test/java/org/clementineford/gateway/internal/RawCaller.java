package org.clementineford.gateway.internal;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller on a plain socket, which pipelines requests and closes when the test chooses. */
record RawCaller(Socket socket, int timeoutMs) {
  static RawCaller connect(GatewayFixture fixture, int timeoutMs) throws IOException {
    Socket socket = new Socket(fixture.address().host(), fixture.address().port());
    return new RawCaller(socket, timeoutMs);
  }

  /** Sends a request for each ID, all in one write. */
  void send(String method, String path, String... ids) throws IOException {
    StringBuilder heads = new StringBuilder();
    for (String id : ids) {
      heads.append(method).append(' ').append(path).append(" HTTP/1.1\r\nHost: 127.0.0.1\r\n");
      heads
          .append("Content-Length: 0\r\ntimeout: ")
          .append(timeoutMs)
          .append("\r\nid: ")
          .append(id)
          .append("\r\n\r\n");
    }
    socket.getOutputStream().write(heads.toString().getBytes(StandardCharsets.US_ASCII));
  }

  void sendAndClose(String method, String path, String id) {
    try {
      send(method, path, id);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    close();
  }

  /** Closes the connection, and returns when the close has reached its other end. */
  void close() {
    LoopbackDelivery delivery = new LoopbackDelivery(socket);
    try {
      socket.close();
      delivery.awaitClose();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
