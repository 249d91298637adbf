package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of a model server: takes staged pieces and orders, and answers with event streams. */
final class Engine implements AutoCloseable {
  static final String SERVICE = "clem-pool";
  private static final int SLOTS = 16;
  private static final long LOAD_MS = 300;
  private static final long PASS_CHECK_MS = 10;

  private final Record record;
  private final Store store;
  private final String id;
  private final int events;
  private final long eventMs;
  private final Http.Server server;
  private final long born = System.currentTimeMillis();
  private final Map<Integer, byte[]> staged = new TreeMap<>();
  private final Map<String, Integer> running = new ConcurrentHashMap<>();

  /** Digests of the pieces that are loaded, by number. */
  private Map<Integer, String> loaded = new TreeMap<>();

  private long version;
  private boolean busy;
  private long sequence;

  /** Called when a stream begins. */
  interface Listener {
    void begun(Engine engine, String id, long version);
  }

  volatile Listener listener = (engine, id, version) -> {};

  /** Starts an engine that holds a version, which is also staged. */
  Engine(
      Deployment deployment, int number, long version, int events, long eventMs)
      throws IOException {
    this.record = deployment.record;
    this.store = deployment.store;
    this.id = "i-engine-" + number;
    this.events = events;
    this.eventMs = eventMs;
    this.version = version;
    for (int chunk = 0; chunk < Weights.CHUNKS; chunk++) {
      byte[] piece = Weights.piece(version, chunk);
      staged.put(chunk, piece);
      loaded.put(chunk, Weights.digest(piece));
    }
    server = new Http.Server(deployment.host(number), 0, this::handle);
    register();
  }

  String id() {
    return id;
  }

  String address() {
    return server.text();
  }

  synchronized long version() {
    return version;
  }

  /** Returns how many loaded pieces are not those of the version that the engine says it has. */
  synchronized int wrongPieces() {
    int wrong = 0;
    for (int chunk = 0; chunk < Weights.CHUNKS; chunk++) {
      if (!Weights.digest(Weights.piece(version, chunk)).equals(loaded.get(chunk))) {
        wrong++;
      }
    }
    return wrong;
  }

  private synchronized String state() {
    return "\"stage\":\"colocated\",\"models\":[{\"name\":\""
        + Weights.MODEL
        + "\",\"version\":"
        + version
        + ",\"adapters\":[]}],\"layers\":{\"from\":0,\"to\":16,\"version\":"
        + version
        + "},\"born\":"
        + born
        + ",\"sequence\":"
        + sequence;
  }

  private void register() {
    store.put(
        "servers",
        id,
        "{\"service\":\""
            + SERVICE
            + "\",\"address\":\""
            + address()
            + "\",\"zone\":\""
            + Deployment.ZONE
            + "\",\"version\":\"v1\",\"slots\":"
            + SLOTS
            + ",\"state\":\"ready\",\"cold_remaining_ms\":0,"
            + state()
            + "}");
  }

  private void handle(Http.Message request, Http.Connection connection)
      throws IOException, InterruptedException {
    String path = request.path();
    String chunk = request.query("chunk_count");
    if (path.equals("/-/report")) {
      String report =
          "{"
              + state()
              + ",\"busy\":"
              + busy
              + ",\"waiting\":0,\"running\":"
              + running.size()
              + ",\"kv_used\":0,\"kv_total\":1640000,\"handles\":0,\"pace\":1.0}";
      connection.answer("200 OK", "application/json", report.getBytes(StandardCharsets.UTF_8));
    } else if (path.startsWith("/-/stage-put/")) {
      synchronized (this) {
        staged.put(Integer.parseInt(chunk), request.body);
      }
      connection.answer("200 OK", "application/json", "{}".getBytes());
    } else if (path.startsWith("/-/stage-get/")) {
      byte[] bytes;
      synchronized (this) {
        bytes = staged.get(Integer.parseInt(chunk));
      }
      connection.answer(
          bytes == null ? "404 Not Found" : "200 OK",
          "application/octet-stream",
          bytes == null ? new byte[0] : bytes);
    } else if (path.equals("/-/order")) {
      order(request, connection);
    } else {
      stream(request, connection);
    }
  }

  private void order(Http.Message request, Http.Connection connection) throws IOException {
    long ordered = Json.number(request.text(), "version");
    String status;
    synchronized (this) {
      if (busy) {
        status = "409 Conflict";
      } else if (ordered == version) {
        status = "200 OK";
      } else {
        status = "202 Accepted";
        busy = true;
        sequence++;
        Map<Integer, String> taken = new TreeMap<>();
        staged.forEach((number, bytes) -> taken.put(number, Weights.digest(bytes)));
        Thread loader = new Thread(() -> load(ordered, taken));
        loader.setDaemon(true);
        loader.start();
      }
    }
    record.line(id + " was ordered: " + request.text() + " -> " + status);
    connection.answer(status, "application/json", "{}".getBytes());
  }

  /** Loads what was staged at the order, after the running requests. */
  private void load(long ordered, Map<Integer, String> taken) {
    try {
      while (!running.isEmpty()) {
        Thread.sleep(PASS_CHECK_MS);
      }
      Thread.sleep(LOAD_MS);
    } catch (InterruptedException e) {
      return;
    }
    synchronized (this) {
      version = ordered;
      loaded = taken;
      busy = false;
    }
    register();
    record.line(
        id + " loaded version " + ordered + "; pieces of another version: " + wrongPieces());
  }

  private void stream(Http.Message request, Http.Connection connection)
      throws IOException, InterruptedException {
    String requestId = request.header("X-Request-Id");
    if (!id.equals(request.header("X-Expect-Instance"))) {
      connection.write(Http.misdirected(id));
      return;
    }
    long runVersion;
    synchronized (this) {
      if (busy || running.size() >= SLOTS) {
        runVersion = 0;
      } else {
        runVersion = version;
        running.put(requestId, 1);
      }
    }
    if (runVersion == 0) {
      connection.write(
          Http.head(
              "HTTP/1.1 503 Service Unavailable",
              "X-Request-Id",
              requestId,
              "X-Not-Executed",
              "1",
              "Content-Length",
              "0"));
      return;
    }
    try {
      String last = request.header("Last-Event-Id");
      int from = last == null ? 1 : Integer.parseInt(last) + 1;
      listener.begun(this, requestId, runVersion);
      record.line(id + " runs " + requestId + " from event " + from + ", version " + runVersion);
      connection.write(
          Http.head(
              "HTTP/1.1 200 OK",
              "Content-Type",
              "text/event-stream",
              "X-Request-Id",
              requestId,
              "X-Server-Signature",
              id + "." + requestId,
              "X-Weight-Versions",
              Long.toString(runVersion),
              "Keep-Alive",
              "timeout=10",
              "Transfer-Encoding",
              "chunked"));
      for (int event = from; event <= events; event++) {
        Thread.sleep(eventMs);
        byte[] bytes =
            ("id: " + event + "\ndata: " + requestId + " " + event + "\n\n")
                .getBytes(StandardCharsets.UTF_8);
        connection.write(
            (Integer.toHexString(bytes.length)
                    + "\r\n"
                    + new String(bytes, StandardCharsets.UTF_8)
                    + "\r\n")
                .getBytes(StandardCharsets.UTF_8));
      }
      connection.write("0\r\n\r\n".getBytes());
    } finally {
      running.remove(requestId);
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
