package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** Stand-in of the platform's store: listings in pages, watches, conditional writes. */
final class Store implements AutoCloseable {
  /** Objects on a page of a listing, as the pages of the platform say: about 500. */
  private static final int PAGE_OBJECTS = 500;

  /** Bytes on a page of a listing, as the pages of the platform say: about 1 MB. */
  private static final int PAGE_BYTES = 1_000_000;

  /** Time of an answer, as the sheet says: 4 ms. */
  private static final long ANSWER_MS = 4;

  // Contents are ASCII, apart from bytes that cannot be read; these are passed on as they are.

  private record Stored(String name, long revision, String spec) {
    String json() {
      return "{\"metadata\":{\"name\":\""
          + name
          + "\",\"revision\":"
          + revision
          + ",\"created\":"
          + revision
          + ",\"finalizers\":[],\"deleting\":false},\"spec\":"
          + spec
          + ",\"status\":null}";
    }
  }

  private record Change(long revision, String kind, String event) {}

  private final TreeMap<String, TreeMap<String, Stored>> kinds = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private final Http.Server server;
  private final Record record;
  private long revision = 100;

  Store(String host, Record record) throws IOException {
    this.record = record;
    server = new Http.Server(host, 0, this::handle);
  }

  String address() {
    return server.text();
  }

  /** Writes an object for an operator or a server; returns the time of the confirmation. */
  synchronized long put(String kind, String name, String spec) {
    revision++;
    Stored stored = new Stored(name, revision, spec);
    kinds.computeIfAbsent(kind, key -> new TreeMap<>()).put(name, stored);
    history.add(
        new Change(revision, kind, "{\"removed\":false,\"object\":" + stored.json() + "}"));
    notifyAll();
    return System.nanoTime();
  }

  /** Removes an object; returns the time of the confirmation. */
  synchronized long remove(String kind, String name) {
    Stored stored = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
    if (stored != null) {
      revision++;
      history.add(
          new Change(revision, kind, "{\"removed\":true,\"object\":" + stored.json() + "}"));
      notifyAll();
    }
    return System.nanoTime();
  }

  private void handle(Http.Message request, Http.Connection connection)
      throws IOException, InterruptedException {
    Thread.sleep(ANSWER_MS);
    String[] words = request.path().split("/");
    if (words.length < 4 || !words[2].equals("objects")) {
      connection.answer("404 Not Found", "application/json", "{}".getBytes());
      return;
    }
    String kind = words[3];
    switch (request.method()) {
      case "GET" -> {
        if (request.query("watch") != null) {
          watch(request, kind, connection);
        } else {
          list(request, kind, connection);
        }
      }
      case "POST", "PUT" -> write(request, kind, words.length > 4 ? words[4] : null, connection);
      default -> connection.answer("405 Method Not Allowed", "application/json", "{}".getBytes());
    }
  }

  private void list(Http.Message request, String kind, Http.Connection connection)
      throws IOException {
    String after = request.query("after");
    StringBuilder body = new StringBuilder("{\"items\":[");
    synchronized (this) {
      int objects = 0;
      boolean more = false;
      for (Stored stored : kinds.getOrDefault(kind, new TreeMap<>()).values()) {
        if (after != null && stored.name().compareTo(after) <= 0) {
          continue;
        }
        if (objects >= PAGE_OBJECTS || body.length() > PAGE_BYTES) {
          more = true;
          break;
        }
        body.append(objects++ == 0 ? "" : ",").append(stored.json());
      }
      body.append("],\"has_more\":").append(more).append(",\"at\":").append(revision).append("}");
    }
    connection.answer(
        "200 OK", "application/json", body.toString().getBytes(StandardCharsets.ISO_8859_1));
  }

  private void watch(Http.Message request, String kind, Http.Connection connection)
      throws IOException, InterruptedException {
    long since = Long.parseLong(request.query("watch"));
    String wait = request.query("wait_ms");
    long waitMs = wait == null ? 1_000 : Long.parseLong(wait);
    long until = System.nanoTime() + waitMs * 1_000_000;
    StringBuilder body = new StringBuilder();
    synchronized (this) {
      while (true) {
        int events = 0;
        body.setLength(0);
        body.append("{\"events\":[");
        for (Change change : history) {
          if (change.revision() > since && change.kind().equals(kind)) {
            body.append(events++ == 0 ? "" : ",").append(change.event());
          }
        }
        long leftMs = (until - System.nanoTime()) / 1_000_000;
        if (events > 0 || leftMs <= 0) {
          body.append("],\"at\":").append(revision).append("}");
          break;
        }
        wait(leftMs);
      }
    }
    connection.answer(
        "200 OK", "application/json", body.toString().getBytes(StandardCharsets.ISO_8859_1));
  }

  private void write(Http.Message request, String kind, String named, Http.Connection connection)
      throws IOException {
    String text = request.text();
    String name = named == null ? Json.text(text, "name") : named;
    String spec = Json.object(text, "spec");
    boolean create = request.method().equals("POST");
    String status;
    synchronized (this) {
      boolean exists = kinds.getOrDefault(kind, new TreeMap<>()).containsKey(name);
      status =
          create == exists ? (create ? "409 Conflict" : "404 Not Found") : "200 OK";
      if (create != exists) {
        put(kind, name, spec);
      }
    }
    record.line("store: " + request.method() + " " + kind + "/" + name + " -> " + status);
    connection.answer(status, "application/json", "{}".getBytes());
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
