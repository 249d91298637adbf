package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A plain server as a process of its own, so that it can be killed. It answers before it has read a
 * long body; the answer has no length and ends with its connection. Prints a line for each step.
 */
final class EarlyServer {
  static final int LINES = 40;
  private static final long LINE_MS = 50;
  private static final int RECEIVE_BUFFER = 65_536;

  private EarlyServer() {}

  /** Returns the body of the answer to a request. */
  static String body(String id) {
    StringBuilder body = new StringBuilder();
    for (int i = 1; i <= LINES; i++) {
      body.append("lot ").append(i).append(" of ").append(id).append(" reserved\n");
    }
    return body.toString();
  }

  public static void main(String[] arguments) throws IOException {
    String self = arguments[1];
    try (ServerSocket listener = new ServerSocket()) {
      listener.setReceiveBufferSize(RECEIVE_BUFFER);
      listener.bind(new InetSocketAddress(InetAddress.getByName(arguments[0]), 0));
      System.out.println("listening " + listener.getLocalPort());
      while (true) {
        Socket socket = listener.accept();
        new Thread(() -> serve(socket, self)).start();
      }
    }
  }

  private static void serve(Socket socket, String self) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream(), 8_192);
      OutputStream out = socket.getOutputStream();
      Http.Message request = Http.readHead(in);
      if (request == null) {
        return;
      }
      String id = request.header("X-Request-Id");
      if (!self.equals(request.header("X-Expect-Instance"))) {
        out.write(Http.misdirected(self));
        return;
      }
      System.out.println("runs " + id);
      out.write(
          Http.head(
              "HTTP/1.1 200 OK",
              "Content-Type",
              "text/plain",
              "X-Request-Id",
              id,
              "X-Server-Signature",
              self + "." + id,
              "Connection",
              "close"));
      String[] lines = body(id).split("(?<=\n)");
      for (int i = 0; i < lines.length; i++) {
        out.write(lines[i].getBytes(StandardCharsets.UTF_8));
        if (i == lines.length / 4) {
          System.out.println("answers " + id);
        }
        Thread.sleep(LINE_MS);
      }
      Http.readBody(in, request, bytes -> {});
      System.out.println("answered " + id);
    } catch (IOException e) {
      System.out.println("connection lost: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
