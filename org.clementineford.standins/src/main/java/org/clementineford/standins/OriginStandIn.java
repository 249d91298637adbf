package org.clementineford.standins;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.clementineford.standins.internal.RangeTransfer;
import org.clementineford.standins.internal.RateLimiter;
import org.clementineford.transport.http.HttpExchange;

/**
 * Simulates the origin of weights: {@code GET /weights/MODEL/VERSION/manifest} and {@code
 * .../data}, the latter with range requests. All connections share the bandwidth limit of the link.
 * Faults: OUTAGE, HANG, SLOWNESS, CORRUPTION, STALL, VERSION_REPLACED. Counts {@code manifest},
 * {@code data}, {@code bytes} (of data, as sent), {@code corrupted} and {@code stalled}.
 */
public final class OriginStandIn extends HttpStandIn {
  private static final Pattern PATH = Pattern.compile("/weights/([^/]+)/([^/]+)/(manifest|data)");
  private static final Pattern RANGE = Pattern.compile("bytes=(\\d+)-(\\d+)");

  private final Map<String, Published> published = new ConcurrentHashMap<>();
  private final RateLimiter link;

  /**
   * Creates an origin without models.
   *
   * @param context address, time and seed of the stand-in; the seed determines the weights
   * @param bytesPerSecond bandwidth of the link; 0 for no limit
   */
  public OriginStandIn(StandInContext context, long bytesPerSecond) {
    super(context);
    this.link = new RateLimiter(context.clock(), bytesPerSecond);
  }

  /**
   * Publishes a version, or replaces its content under the same name.
   *
   * @param model name of the model
   * @param version name of the version
   * @param length length of the weights in bytes
   * @param chunkLength length of each chunk except the last, in bytes
   * @return the manifest
   */
  public WeightContent.Manifest publish(
      String model, String version, long length, int chunkLength) {
    Published next =
        published.compute(
            model + "/" + version,
            (name, old) -> {
              int generation = old == null ? 0 : old.generation() + 1;
              return new Published(
                  generation,
                  new WeightContent(
                      context().seed(), model, version, generation, length, chunkLength));
            });
    return next.content().manifest();
  }

  /**
   * Returns the number of bytes of weights sent.
   *
   * @return sum over all connections
   */
  public long bytesServed() {
    return counters().get("bytes");
  }

  @Override
  protected void handle(HttpExchange exchange) {
    Matcher path = PATH.matcher(new QueryStringDecoder(exchange.request().target()).path());
    Published found = path.matches() ? published.get(path.group(1) + "/" + path.group(2)) : null;
    if (found == null) {
      respondError(exchange, 404, "no such weights");
      return;
    }
    counters().add(path.group(3), 1);
    if (path.group(3).equals("manifest")) {
      exchange.respond(
          200, Map.of("Content-Type", "application/json"), found.content().manifestJson());
      return;
    }
    WeightContent content = found.content();
    if (faults().tryConsume(StandInFaultKind.VERSION_REPLACED).isPresent()) {
      WeightContent.Manifest old = content.manifest();
      publish(old.model(), old.version(), old.length(), old.chunkLength());
      content = published.get(old.model() + "/" + old.version()).content();
    }
    send(exchange, content);
  }

  private void send(HttpExchange exchange, WeightContent content) {
    long first = 0;
    long last = content.manifest().length() - 1;
    int status = 200;
    String header = exchange.request().header("Range");
    if (header != null) {
      Matcher range = RANGE.matcher(header);
      if (!range.matches()
          || Long.parseLong(range.group(1)) > Long.parseLong(range.group(2))
          || Long.parseLong(range.group(2)) > last) {
        respondError(exchange, 416, "range " + header + " is not within " + (last + 1) + " bytes");
        return;
      }
      first = Long.parseLong(range.group(1));
      last = Long.parseLong(range.group(2));
      status = 206;
    }
    Map<String, String> headers =
        Map.of(
            "Content-Range",
            "bytes " + first + "-" + last + "/" + content.manifest().length(),
            "X-Weights-Digest",
            content.manifest().digest());
    boolean corrupt = faults().tryConsume(StandInFaultKind.CORRUPTION).isPresent();
    boolean stall = faults().tryConsume(StandInFaultKind.STALL).isPresent();
    if (corrupt) {
      counters().add("corrupted", 1);
    }
    if (stall) {
      counters().add("stalled", 1);
    }
    exchange.start(status, headers);
    new RangeTransfer(exchange, content, link, context().scheduler(), counters())
        .send(first, last + 1, corrupt, stall);
  }

  private record Published(int generation, WeightContent content) {}
}
