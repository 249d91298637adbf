package org.clementineford.client;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.ResourceBundle;
import java.util.Set;
import java.util.stream.Collectors;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;

/** Explains from collected logs why a request ended as it did. */
public final class ExplainRequest {
  /** Period before a request in which its VMs may have logged what determined its outcome. */
  private static final Duration PERIOD_BEFORE = Duration.ofSeconds(10);

  /** Period after a request in which its cause may still be logged, such as a lost dependency. */
  private static final Duration PERIOD_AFTER = Duration.ofSeconds(2);

  private static final String ENDED = "request ended";
  private static final String ATTEMPT_FAILED = "attempt failed";
  private static final String DROPPED = "log lines dropped";

  private static final ResourceBundle SENTENCES =
      ResourceBundle.getBundle("org.clementineford.client.findings", Locale.ROOT);

  private final FleetLog log;
  private final String request;

  /**
   * Creates the command.
   *
   * @param log logs of all processes; this command adjusts their times to the clock of the
   *     request's entry VM
   * @param request identity of the request
   */
  public ExplainRequest(FleetLog log, String request) {
    this.log = log;
    this.request = request;
  }

  /**
   * Explains the request.
   *
   * @return the explanation
   * @throws ClementinefordException if no log line names the request
   */
  public RequestExplanation call() throws ClementinefordException {
    LogLine first =
        log.lines().stream()
            .filter(this::namesRequest)
            .findFirst()
            .orElseThrow(
                () ->
                    new ClementinefordException(
                        ErrorKind.NOT_FOUND,
                        "no log line names the request "
                            + request
                            + "; give the logs of all entry VMs, or take the"
                            + " identity from the answer"));
    log.alignTo(first.vm());
    List<LogLine> all = log.lines();
    List<LogLine> own = all.stream().filter(this::namesRequest).toList();
    List<LogLine> relatedLines = relatedLines(all, own);
    return new RequestExplanation(findings(own, relatedLines), own, relatedLines);
  }

  private boolean namesRequest(LogLine line) {
    return line.field("request").equals(request) || line.field("answered").equals(request);
  }

  private static List<LogLine> relatedLines(List<LogLine> all, List<LogLine> own) {
    Instant from = own.get(0).time().minus(PERIOD_BEFORE);
    Instant until = own.get(own.size() - 1).time().plus(PERIOD_AFTER);
    Set<String> vms = own.stream().map(LogLine::vm).collect(Collectors.toSet());
    Set<String> endpoints =
        own.stream()
            .map(line -> line.field("endpoint"))
            .filter(endpoint -> !endpoint.isEmpty())
            .collect(Collectors.toSet());
    return all.stream()
        .filter(line -> !line.time().isBefore(from) && !line.time().isAfter(until))
        .filter(line -> line.field("request").isEmpty())
        .filter(line -> vms.contains(line.vm()) || namesEndpoint(line, endpoints))
        .toList();
  }

  private static boolean namesEndpoint(LogLine line, Set<String> endpoints) {
    return endpoints.stream().anyMatch(line.field("endpoint")::contains);
  }

  private List<String> findings(List<LogLine> own, List<LogLine> relatedLines) {
    List<String> findings = new ArrayList<>();
    boolean ended = false;
    for (LogLine line : own) {
      if (line.message().equals(ENDED)) {
        ended = true;
        findings.add(0, sentence("ending.", line.field("ending")));
      } else if (line.message().equals(ATTEMPT_FAILED)) {
        findings.add(
            "attempt "
                + line.field("attempt")
                + " at "
                + line.field("endpoint")
                + ": "
                + sentence("outcome.", line.field("outcome"))
                + " ("
                + line.field("cause")
                + ")");
      }
    }
    if (!ended) {
      findings.add(0, SENTENCES.getString("notEnded"));
    }
    for (LogLine line : relatedLines) {
      if (line.message().equals(DROPPED)) {
        findings.add(line.vm() + " lost " + line.field("lines") + " log lines");
      }
    }
    log.offsets()
        .forEach(
            (vm, offset) -> {
              if (!offset.isZero()) {
                findings.add(
                    "the clock of " + vm + " was " + offset.toMillis() + " ms ahead; corrected");
              }
            });
    if (log.unparsedLines() > 0) {
      findings.add(log.unparsedLines() + " lines of the logs could not be parsed");
    }
    return findings;
  }

  private static String sentence(String prefix, String name) {
    String key = prefix + (name.startsWith("ANSWERED_") ? "ANSWERED" : name);
    return name + ": " + (SENTENCES.containsKey(key) ? SENTENCES.getString(key) : "");
  }
}
