package org.clementineford.gateway.internal;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;

/** An HTTP endpoint on loopback that answers each request with the bytes of a test script. */
final class ScriptedHttpEndpoint implements AutoCloseable {
  private static final int SMALL_BUFFER_BYTES = 16_384;

  private final ServerSocket server;
  private final Script script;
  private final boolean readsBodies;
  private final Thread accepting = new Thread(this::accept, "endpoint");
  private final List<Thread> serving = Collections.synchronizedList(new ArrayList<>());
  private final List<Socket> sockets = Collections.synchronizedList(new ArrayList<>());
  private final List<Request> requests = Collections.synchronizedList(new ArrayList<>());

  /** Handles the requests of an endpoint. */
  @FunctionalInterface
  interface Script {
    void answer(Request request, Connection connection) throws IOException;
  }

  /** A received request, with its position among the requests of the endpoint. */
  record Request(int number, String line, Map<String, String> headers, String body) {
    String id() {
      return headers.get("id");
    }

    int bodyLength() {
      return Integer.parseInt(headers.getOrDefault("content-length", "0"));
    }
  }

  /** A connection to the gateway, on which responses are written. */
  record Connection(Socket socket, InputStream input, OutputStream output) {
    void skipBody(int length) throws IOException {
      input.skipNBytes(length);
    }

    void write(String text) throws IOException {
      output.write(text.getBytes(StandardCharsets.UTF_8));
      output.flush();
    }

    void respond(int status, String id, String headers, String body) throws IOException {
      write(
          String.format(
              Locale.ROOT,
              "HTTP/1.1 %d X\r\nid: %s\r\n%sKeep-Alive: timeout=5\r\n"
                  + "Content-Length: %d\r\n\r\n%s",
              status,
              id,
              headers,
              body.length(),
              body));
    }

    void startEventStream(String id) throws IOException {
      write(
          "HTTP/1.1 200 OK\r\nid: "
              + id
              + "\r\nproof: p\r\nContent-Type: text/event-stream\r\n"
              + "Transfer-Encoding: chunked\r\n\r\n");
    }

    void writeChunk(String text) throws IOException {
      write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  ScriptedHttpEndpoint(Script script) throws IOException {
    this(script, true);
  }

  private ScriptedHttpEndpoint(Script script, boolean readsBodies) throws IOException {
    this.script = script;
    this.readsBodies = readsBodies;
    this.server = new ServerSocket();
    if (!readsBodies) {
      // Otherwise the buffers of the connection may hold a body that is not read.
      server.setReceiveBufferSize(SMALL_BUFFER_BYTES);
    }
    server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
    accepting.setDaemon(true);
    accepting.start();
  }

  /** Returns an endpoint whose script runs after the head of a request and may read the body. */
  static ScriptedHttpEndpoint answeringHeads(Script script) throws IOException {
    return new ScriptedHttpEndpoint(script, false);
  }

  HostPort address() {
    return new HostPort("127.0.0.1", server.getLocalPort());
  }

  /** Ends the endpoint as a crash does: it accepts no connections, and the open ones close. */
  void crash() throws IOException {
    server.close();
    for (Socket socket : List.copyOf(sockets)) {
      socket.close();
    }
  }

  /** Waits until all connections accepted so far have ended. */
  void awaitConnectionsEnded() throws InterruptedException {
    for (Thread connection : List.copyOf(serving)) {
      connection.join(TimeUnit.SECONDS.toMillis(5));
    }
  }

  List<Request> requests() {
    return List.copyOf(requests);
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        sockets.add(socket);
        Thread connection = new Thread(() -> serve(socket), "endpoint connection");
        connection.setDaemon(true);
        serving.add(connection);
        connection.start();
      } catch (IOException e) {
        return; // The test closed the server socket.
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream input = new BufferedInputStream(socket.getInputStream());
      Connection connection = new Connection(socket, input, socket.getOutputStream());
      Request request = readRequest(input);
      while (request != null) {
        script.answer(request, connection);
        request = readRequest(input);
      }
    } catch (IOException e) {
      // The gateway or the script closed the connection.
    }
  }

  private Request readRequest(InputStream input) throws IOException {
    String line = line(input);
    if (line == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String header = line(input); !header.isEmpty(); header = line(input)) {
      int colon = header.indexOf(':');
      headers.put(header.substring(0, colon), header.substring(colon + 1).strip());
    }
    int length = readsBodies ? Integer.parseInt(headers.getOrDefault("content-length", "0")) : 0;
    String body = new String(input.readNBytes(length), StandardCharsets.UTF_8);
    synchronized (requests) {
      Request request = new Request(requests.size(), line, headers, body);
      requests.add(request);
      return request;
    }
  }

  private static String line(InputStream input) throws IOException {
    StringBuilder line = new StringBuilder();
    int next = input.read();
    while (next != '\n') {
      if (next < 0) {
        return null;
      }
      if (next != '\r') {
        line.append((char) next);
      }
      next = input.read();
    }
    return line.toString();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
