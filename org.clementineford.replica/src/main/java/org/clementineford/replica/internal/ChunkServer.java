package org.clementineford.replica.internal;

import java.util.Map;
import org.clementineford.transport.http.HttpExchange;

/** Gives verified chunks to peers. */
final class ChunkServer {
  private static final String ROOT = "/chunks/";

  /** Uploads at once; more would only share the VM's link. */
  private static final int UPLOADS = 4;

  private final WeightRollout rollout;
  private int uploads;

  ChunkServer(WeightRollout rollout) {
    this.rollout = rollout;
  }

  static String path(String model, long version, int chunk) {
    return ROOT + model + "/" + version + "/" + chunk;
  }

  void answer(HttpExchange exchange) {
    byte[] bytes = find(exchange.request().path());
    if (bytes == null) {
      exchange.respond(404, Map.of(), new byte[0]);
    } else if (uploads >= UPLOADS) {
      exchange.respond(503, Map.of(), new byte[0]);
    } else {
      uploads++;
      exchange.respond(200, Map.of(), bytes);
      rollout.afterUpload(bytes.length, () -> uploads--);
    }
  }

  private byte[] find(String path) {
    if (!path.startsWith(ROOT)) {
      return null;
    }
    String[] parts = path.substring(ROOT.length()).split("/");
    if (parts.length != 3) {
      return null;
    }
    try {
      return rollout.chunk(parts[0], Long.parseLong(parts[1]), Integer.parseInt(parts[2]));
    } catch (NumberFormatException e) {
      return null;
    }
  }
}
