package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * A server crashes while it answers early, without a length. The caller must not get the part of
 * the answer as a complete success.
 */
final class Mixed {
  private static final int SERVERS = 6;

  /** Below the manifest's max_body_bytes of 4,194,304. */
  private static final int BODY_BYTES = 4_190_000;

  private static final int REQUESTS = 6;

  private Mixed() {}

  public static void main(String[] arguments) {
    Deployment.main(arguments, Mixed::run);
  }

  /** A server process and what it printed. */
  private record Server(String id, Process process, Path output) {
    boolean printed(String line) throws IOException {
      return Files.readAllLines(output).contains(line);
    }
  }

  private static String run(Deployment deployment) throws Exception {
    List<Server> servers = new ArrayList<>();
    for (int i = 1; i <= SERVERS; i++) {
      servers.add(startServer(deployment, i));
    }
    deployment.store.put(
        "config",
        "main",
        new Manifest(7)
            .route("/reserve/", "non_idempotent", "ledger", 6_000, 150)
            .plain("ledger", 100)
            .tenant("bozi300", "jnbanfqasnmgkcuyj8pj")
            .text());
    Deployment.Entry entry = deployment.startEntry(11);
    deployment.awaitReady(entry);
    Thread.sleep(1_000);
    byte[] upload = new byte[BODY_BYTES];
    Arrays.fill(upload, (byte) 'x');
    boolean crashed = false;
    String broken = null;
    for (int i = 1; i <= REQUESTS && broken == null; i++) {
      String id = "r" + i;
      Http.Message[] answer = new Http.Message[1];
      Thread caller =
          new Thread(
              () ->
                  answer[0] =
                      Http.call(
                          entry.front(),
                          8_000,
                          Http.head(
                              "POST /reserve/2f HTTP/1.1",
                              "Host",
                              Manifest.HOST,
                              "X-Request-Id",
                              id,
                              "X-Timeout-Ms",
                              "6000",
                              "Api-Key",
                              "jnbanfqasnmgkcuyj8pj",
                              "Content-Length",
                              Integer.toString(BODY_BYTES),
                              "Connection",
                              "close"),
                          upload,
                          bytes -> {}));
      deployment.record.line("sent " + id + ", " + BODY_BYTES + " bytes");
      caller.start();
      while (caller.isAlive()) {
        for (Server server : servers) {
          if (deployment.trouble && !crashed && server.printed("answers " + id)) {
            crashed = true;
            server.process().destroyForcibly();
            deployment.record.line(server.id() + " killed while it answered " + id);
          }
        }
        Thread.sleep(10);
      }
      Http.Message got = answer[0];
      String whole = EarlyServer.body(id);
      boolean success = !got.start.isEmpty() && got.status() == 200;
      deployment.record.line(
          "answered "
              + id
              + " "
              + got.start
              + ", "
              + got.body.length
              + " of "
              + whole.length()
              + " bytes, ending: "
              + got.end
              + ", Content-Length "
              + got.header("Content-Length")
              + ", signature "
              + got.header("X-Server-Signature"));
      if (success && got.end.equals("complete") && !got.text().equals(whole)) {
        broken =
            id
                + " got a complete success with "
                + got.body.length
                + " of the "
                + whole.length()
                + " bytes that the server's answer has";
      } else if (!success && !(deployment.trouble && crashed)) {
        throw new IOException(id + " was not answered: " + got.start + " " + got.end);
      }
      if (crashed && broken == null) {
        break;
      }
    }
    deployment.recordLogs("attempt failed", "request ended");
    for (Server server : servers) {
      for (String line : Files.readAllLines(server.output())) {
        deployment.record.line(server.id() + ": " + line);
      }
    }
    return broken;
  }

  private static Server startServer(Deployment deployment, int number) throws Exception {
    String id = "i-ledger-" + number;
    Path output = deployment.temporary.resolve(id + ".txt");
    String host = deployment.host(40 + number);
    Process process =
        deployment.launch(
            List.of("java", "-Xmx64m", "-cp", "target/review", "review.EarlyServer", host, id),
            Map.of(),
            output);
    for (int i = 0; i < 100; i++) {
      for (String line : Files.readAllLines(output)) {
        if (line.startsWith("listening ")) {
          deployment.store.put(
              "servers",
              id,
              Manifest.entry(
                  "ledger",
                  host + ":" + line.substring(10),
                  6,
                  "ready",
                  System.currentTimeMillis()));
          return new Server(id, process, output);
        }
      }
      Thread.sleep(50);
    }
    throw new IOException(id + " did not start");
  }
}
