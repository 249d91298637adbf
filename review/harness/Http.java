package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Small HTTP/1.1 client and server over plain sockets, which show each byte and each reset. */
final class Http {
  private Http() {}

  /** A request or an answer. */
  static final class Message {
    String start = "";
    final List<String[]> headers = new ArrayList<>();
    byte[] body = new byte[0];

    /** How the answer ended; "complete", or what was seen instead. */
    String end = "complete";

    String header(String name) {
      for (String[] header : headers) {
        if (header[0].equalsIgnoreCase(name)) {
          return header[1];
        }
      }
      return null;
    }

    int status() {
      String[] words = start.split(" ");
      return words.length < 2 ? 0 : Integer.parseInt(words[1]);
    }

    String method() {
      return start.split(" ")[0];
    }

    String target() {
      return start.split(" ")[1];
    }

    String path() {
      return target().split("\\?")[0];
    }

    String query(String name) {
      String[] halves = target().split("\\?", 2);
      if (halves.length == 2) {
        for (String pair : halves[1].split("&")) {
          if (pair.startsWith(name + "=")) {
            return pair.substring(name.length() + 1);
          }
        }
      }
      return null;
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new EOFException("connection ended inside a head");
      }
      if (b != '\r') {
        line.write(b);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads a head; null if the connection ends before it. */
  static Message readHead(InputStream in) throws IOException {
    in.mark(1);
    if (in.read() < 0) {
      return null;
    }
    in.reset();
    Message message = new Message();
    message.start = readLine(in);
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      message.headers.add(
          new String[] {line.substring(0, colon).strip(), line.substring(colon + 1).strip()});
    }
    return message;
  }

  /** Receives the parts of a body. */
  interface Part {
    void accept(byte[] bytes) throws IOException;
  }

  private static void readExactly(InputStream in, long length, Part part) throws IOException {
    long left = length;
    byte[] buffer = new byte[65_536];
    while (left > 0) {
      int read = in.read(buffer, 0, (int) Math.min(buffer.length, left));
      if (read < 0) {
        throw new EOFException("connection ended with " + left + " bytes missing");
      }
      part.accept(Arrays.copyOf(buffer, read));
      left -= read;
    }
  }

  /** Reads the body that belongs to a head; without a length it is empty. */
  static void readBody(InputStream in, Message message, Part part) throws IOException {
    if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
      while (true) {
        int length = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
        readExactly(in, length, part);
        if (length == 0) {
          while (!readLine(in).isEmpty()) {
            // Skips a trailer.
          }
          return;
        }
        readLine(in);
      }
    }
    if (message.header("Content-Length") != null) {
      readExactly(in, Long.parseLong(message.header("Content-Length")), part);
    }
  }

  static byte[] head(String start, String... headers) {
    StringBuilder text = new StringBuilder(start).append("\r\n");
    for (int i = 0; i < headers.length; i += 2) {
      text.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
    }
    return text.append("\r\n").toString().getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the answer of a server to a request that expects another one. */
  static byte[] misdirected(String self) {
    return head(
        "HTTP/1.1 421 Misdirected Request", "X-Instance-Id", self, "Content-Length", "0");
  }

  /** Sends one request on a new connection and reads the answer; never throws. */
  static Message call(
      InetSocketAddress address, int timeoutMs, byte[] head, byte[] body, Part onBody) {
    Message answer = new Message();
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    try (Socket socket = new Socket()) {
      socket.connect(address, 1_000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(timeoutMs);
      OutputStream out = socket.getOutputStream();
      out.write(head);
      out.write(body);
      out.flush();
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Message read = readHead(in);
      if (read == null) {
        answer.end = "connection closed without an answer";
        return answer;
      }
      answer = read;
      readBody(
          in,
          read,
          bytes -> {
            received.write(bytes);
            onBody.accept(bytes);
          });
    } catch (IOException e) {
      answer.end = e.getClass().getSimpleName() + ": " + e.getMessage();
    }
    answer.body = received.toByteArray();
    return answer;
  }

  /** A connection of a server. */
  static final class Connection {
    final Socket socket;
    final InputStream in;
    final OutputStream out;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      this.in = new BufferedInputStream(socket.getInputStream());
      this.out = socket.getOutputStream();
    }

    synchronized void write(byte[] bytes) throws IOException {
      out.write(bytes);
      out.flush();
    }

    void answer(String status, String type, byte[] body) throws IOException {
      byte[] head =
          head(
              "HTTP/1.1 " + status,
              "Content-Type",
              type,
              "Content-Length",
              Integer.toString(body.length));
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(head);
      all.write(body);
      write(all.toByteArray());
    }
  }

  /** Answers the requests of a connection, one after the other. */
  interface Handler {
    void handle(Message request, Connection connection) throws IOException, InterruptedException;
  }

  /** A server with a thread for each connection. */
  static final class Server implements Closeable {
    private final ServerSocket listener;
    private final Handler handler;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

    Server(String host, int port, Handler handler) throws IOException {
      this.handler = handler;
      listener = new ServerSocket();
      listener.setReuseAddress(true);
      listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 1_024);
      Thread thread = new Thread(this::accept, "accept");
      thread.setDaemon(true);
      thread.start();
    }

    InetSocketAddress address() {
      return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    String text() {
      return address().getAddress().getHostAddress() + ":" + address().getPort();
    }

    private void accept() {
      while (true) {
        try {
          Socket socket = listener.accept();
          socket.setTcpNoDelay(true);
          Thread thread = new Thread(null, () -> serve(socket), "serve", 256 << 10);
          thread.setDaemon(true);
          thread.start();
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      Connection connection = null;
      try (socket) {
        connection = new Connection(socket);
        connections.add(connection);
        for (Message request = readHead(connection.in);
            request != null;
            request = readHead(connection.in)) {
          ByteArrayOutputStream body = new ByteArrayOutputStream();
          readBody(connection.in, request, body::write);
          request.body = body.toByteArray();
          handler.handle(request, connection);
        }
      } catch (IOException e) {
        // The peer closed or reset the connection.
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } finally {
        if (connection != null) {
          connections.remove(connection);
        }
      }
    }

    @Override
    public void close() throws IOException {
      listener.close();
      for (Connection connection : connections) {
        connection.socket.close();
      }
    }
  }
}
