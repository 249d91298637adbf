package org.clementineford.soak;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;

/** Compares the requests that entry VMs have read with those that ended, once callers are quiet. */
final class RequestCounts {
  /** Port of the metrics of a program. */
  static final int METRICS_PORT = 9_464;

  private static final String READ = "clementineford_entry_requests_read_total";
  private static final String ENDED = "clementineford_entry_requests_total";
  private static final long CALL_TIMEOUT_MS = 1_000;
  private static final long POLL_MS = 200;

  /** Time in which the requests in progress end: the timeout of callers and a margin. */
  private static final long QUIET_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final SoakFleet fleet;
  private final NanoClock clock;

  RequestCounts(SoakFleet fleet, NanoClock clock) {
    this.fleet = fleet;
    this.clock = clock;
  }

  /** Returns one sentence for each running entry VM with requests that have not ended. */
  List<String> check() throws InterruptedException {
    List<String> broken = new ArrayList<>();
    try (HttpClient client = new HttpClient(fleet.eventLoops(), LinkShaping.NONE)) {
      for (Program entry : fleet.entries()) {
        if (entry.isRunning()) {
          String counts = awaitEnds(client, new HostPort(fleet.host(entry), METRICS_PORT));
          if (!counts.isEmpty()) {
            broken.add(entry.vm() + " " + counts);
          }
        }
      }
    }
    return broken;
  }

  /** Returns an empty text once both counts are equal, else what they are in the end. */
  private String awaitEnds(HttpClient client, HostPort address) throws InterruptedException {
    long giveUpAt = clock.nanoTime() + QUIET_NANOS;
    while (true) {
      String counts = compare(client, address);
      if (counts.isEmpty() || clock.nanoTime() - giveUpAt > 0) {
        return counts;
      }
      Thread.sleep(POLL_MS);
    }
  }

  private static String compare(HttpClient client, HostPort address) {
    HttpRequest request = new HttpRequest("GET", "/metrics", Map.of(), new byte[0]);
    try {
      String page =
          new String(
              client.call(address, request, CALL_TIMEOUT_MS).join().body(), StandardCharsets.UTF_8);
      double read = sum(page, READ);
      double ended = sum(page, ENDED);
      return read == ended ? "" : "has read " + read + " requests, of which " + ended + " ended";
    } catch (CompletionException e) {
      return "does not show its metrics: " + e.getCause().getMessage();
    }
  }

  /** Returns the sum of a counter over its labels, from a page in the text format. */
  private static double sum(String page, String counter) {
    return page.lines()
        .filter(line -> line.startsWith(counter + " ") || line.startsWith(counter + "{"))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
        .sum();
  }
}
