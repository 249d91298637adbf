package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The origin of weights spoils one bit of one answer. No engine may answer with weights of another
 * version than it was ordered to load.
 */
final class Whole {
  private static final int ENGINES = 3;
  private static final long RUN_MS = 25_000;

  /** The origin's link, 7.3 Mbit/s, in bytes a millisecond. */
  private static final long LINK_BYTES_PER_MS = 912;

  private Whole() {}

  public static void main(String[] arguments) {
    Deployment.main(arguments, Whole::run);
  }

  private static String run(Deployment deployment) throws Exception {
    AtomicInteger answers = new AtomicInteger();
    AtomicInteger spoilt = new AtomicInteger();
    Object link = new Object();
    Http.Server origin =
        new Http.Server(
            deployment.host(30),
            0,
            (request, connection) -> {
              long version = Long.parseLong(request.query("version"));
              byte[] body;
              if (version > 2) {
                connection.answer("404 Not Found", "application/json", "{}".getBytes());
                return;
              }
              if (request.path().startsWith("/-/manifest/")) {
                body = Weights.manifest(version).getBytes(StandardCharsets.UTF_8);
                if (deployment.trouble && spoilt.getAndIncrement() == 0) {
                  spoil(body);
                  deployment.record.line("origin spoils one bit of " + request.target());
                }
              } else {
                body = Weights.piece(version, Integer.parseInt(request.query("chunk_count")));
              }
              answers.incrementAndGet();
              synchronized (link) {
                Thread.sleep(body.length / LINK_BYTES_PER_MS);
              }
              connection.answer("200 OK", "application/octet-stream", body);
            });
    List<Engine> engines = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      engines.add(new Engine(deployment, 51 + i, 1, 12, 20));
    }
    deployment.store.put(
        "config",
        "main",
        new Manifest(7)
            .route("/assess/", "stream", Engine.SERVICE, 6_000, 400)
            .engines(Engine.SERVICE, Weights.MODEL, Weights.CHUNKS, Weights.CHUNK_BYTES)
            .origin("backoffice", origin.text())
            .tenant("bozi300", "jnbanfqasnmgkcuyj8pj")
            .text());
    Deployment.Entry entry = deployment.startEntry(11);
    for (int i = 0; i < ENGINES; i++) {
      deployment.startEndpoint(51 + i, engines.get(i).address(), Engine.SERVICE);
    }
    deployment.awaitReady(entry);
    Thread.sleep(4_000);
    AtomicInteger wrong = new AtomicInteger();
    AtomicInteger served = new AtomicInteger();
    for (Engine engine : engines) {
      engine.listener =
          (from, id, version) -> {
            if (from.wrongPieces() > 0) {
              wrong.incrementAndGet();
              deployment.record.line(
                  id + " runs on " + from.wrongPieces() + " pieces that are not of " + version);
            }
          };
    }
    deployment.record.line("version 2 of " + Weights.MODEL + " named");
    deployment.store.put(
        "versions", Weights.MODEL, "{\"model\":\"" + Weights.MODEL + "\",\"version\":2}");
    long until = System.nanoTime() + RUN_MS * 1_000_000;
    for (int i = 1; System.nanoTime() < until; i++) {
      String id = "r" + i;
      Http.Message answer =
          Http.call(
              entry.front(),
              6_500,
              Http.head(
                  "POST /assess/2f HTTP/1.1",
                  "Host",
                  Manifest.HOST,
                  "X-Request-Id",
                  id,
                  "X-Timeout-Ms",
                  "6042",
                  "X-Model",
                  Weights.MODEL,
                  "X-Token-Usage",
                  "1330,72",
                  "X-Prompt-Prefix",
                  "5c1e07a2:40,e4402b" + i + ":1290",
                  "Api-Key",
                  "jnbanfqasnmgkcuyj8pj",
                  "Content-Length",
                  "2",
                  "Connection",
                  "close"),
              "{}".getBytes(),
              bytes -> {});
      boolean success = !answer.start.isEmpty() && answer.status() == 200;
      if (success) {
        served.incrementAndGet();
      }
      deployment.record.line(
          "answered "
              + id
              + " "
              + answer.start
              + ", X-Weight-Versions "
              + answer.header("X-Weight-Versions")
              + ", "
              + answer.end);
      Thread.sleep(40);
    }
    deployment.recordLogs("transfer", "ordered", "order", "digests");
    deployment.record.line("origin answered " + answers + " calls, served requests: " + served);
    for (Engine engine : engines) {
      deployment.record.line(
          engine.id() + " has version " + engine.version() + ", wrong " + engine.wrongPieces());
    }
    if (served.get() == 0) {
      throw new IOException("no request was served");
    }
    return wrong.get() == 0
        ? null
        : wrong + " requests ran on pieces of another version than the engine was ordered to load";
  }

  /**
   * Flips one bit. By default it is the lowest one of the last letter of the field's name, so that
   * "digests" becomes "digestr"; with SPOIL=version, the lowest one of the version, 2, so that the
   * list seems to be that of version 3.
   */
  private static void spoil(byte[] manifest) {
    String text = new String(manifest, StandardCharsets.ISO_8859_1);
    int at =
        "version".equals(System.getenv("SPOIL"))
            ? text.indexOf("\"version\":") + 10
            : text.indexOf("\"digests\"") + 7;
    manifest[at] ^= 1;
  }
}
