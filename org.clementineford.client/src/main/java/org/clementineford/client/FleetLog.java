package org.clementineford.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;

/**
 * Logs of many processes, adjusted to the clock of one of them. Clock offsets are estimated from
 * messages that all processes log when they receive the same update from the platform, such as a
 * configuration version.
 */
public final class FleetLog {
  /**
   * Difference up to which clocks count as equal. Processes may receive the same update this far
   * apart, since a watch of the platform takes up to a second.
   */
  private static final Duration CLOCK_TOLERANCE = Duration.ofMillis(1_500);

  /** Messages that processes log with the version number as soon as they receive a version. */
  private static final Set<String> VERSION_MESSAGES =
      Set.of("configuration in force", "version of weights named");

  private static final ObjectMapper JSON = new ObjectMapper();

  private final Map<String, List<LogLine>> linesByVm = new TreeMap<>();
  private final Map<String, Duration> offsets = new TreeMap<>();
  private int unparsedLines;

  /**
   * Reads logs.
   *
   * @param paths log files, or directories of log files; each file holds the standard output of one
   *     process and is named after its VM
   * @return the logs
   * @throws ClementinefordException if a file cannot be read
   */
  public static FleetLog read(List<Path> paths) throws ClementinefordException {
    FleetLog log = new FleetLog();
    for (Path path : paths) {
      try {
        if (Files.isDirectory(path)) {
          try (Stream<Path> files = Files.list(path)) {
            for (Path file : files.filter(Files::isRegularFile).sorted().toList()) {
              log.add(file);
            }
          }
        } else {
          log.add(path);
        }
      } catch (IOException e) {
        throw new ClementinefordException(
            ErrorKind.LOCAL_RESOURCE, "cannot read the log " + path + "; check --logs", e);
      }
    }
    return log;
  }

  private void add(Path file) throws IOException {
    String vm = file.getFileName().toString().replaceFirst("\\.[a-z]+$", "");
    List<LogLine> lines = linesByVm.computeIfAbsent(vm, name -> new ArrayList<>());
    String text = Files.readString(file, StandardCharsets.UTF_8);
    for (String line : text.split("\n")) {
      // Log collectors may prefix the JSON with the VM or a time.
      int start = line.indexOf('{');
      if (start < 0) {
        unparsedLines += line.isBlank() ? 0 : 1;
        continue;
      }
      try {
        lines.add(parse(vm, JSON.readTree(line.substring(start))));
      } catch (JsonProcessingException e) {
        // Counted and reported in the findings: a process may be killed while it writes a line.
        unparsedLines++;
      }
    }
  }

  private static LogLine parse(String vm, JsonNode line) {
    Map<String, String> fields = new LinkedHashMap<>();
    for (JsonNode pair : line.path("kvpList")) {
      pair.properties().forEach(field -> fields.put(field.getKey(), field.getValue().asText()));
    }
    return new LogLine(
        vm,
        Instant.ofEpochMilli(line.path("timestamp").asLong()),
        line.path("level").asText(),
        line.path("formattedMessage").asText(),
        Collections.unmodifiableMap(fields));
  }

  /**
   * Adjusts the times of all logs to the clock of one VM. Logs without a common message keep their
   * times.
   *
   * @param vm VM whose clock is the reference
   */
  void alignTo(String vm) {
    Map<String, Instant> reference = versionTimes(linesByVm.getOrDefault(vm, List.of()));
    linesByVm.forEach(
        (other, lines) -> {
          Duration offset =
              other.equals(vm) ? Duration.ZERO : offset(versionTimes(lines), reference);
          offsets.put(other, offset);
          lines.replaceAll(line -> line.withTime(line.time().minus(offset)));
        });
  }

  private static Map<String, Instant> versionTimes(List<LogLine> lines) {
    Map<String, Instant> marks = new HashMap<>();
    for (LogLine line : lines) {
      if (VERSION_MESSAGES.contains(line.message())) {
        marks.putIfAbsent(line.message() + " " + line.field("version"), line.time());
      }
    }
    return marks;
  }

  /** Returns the smallest difference, since a VM that was partitioned logs updates late. */
  private static Duration offset(Map<String, Instant> marks, Map<String, Instant> reference) {
    return marks.entrySet().stream()
        .filter(mark -> reference.containsKey(mark.getKey()))
        .map(mark -> Duration.between(reference.get(mark.getKey()), mark.getValue()))
        .min(Comparator.comparing(Duration::abs))
        .filter(difference -> difference.abs().compareTo(CLOCK_TOLERANCE) > 0)
        .orElse(Duration.ZERO);
  }

  /** Returns how far the clock of each VM was ahead; zero if it counts as equal. */
  Map<String, Duration> offsets() {
    return Collections.unmodifiableMap(offsets);
  }

  /** Returns all lines sorted by time; the lines of one VM keep their order. */
  List<LogLine> lines() {
    List<LogLine> all = new ArrayList<>();
    linesByVm.values().forEach(lines -> all.addAll(withMonotonicTimes(lines)));
    all.sort(Comparator.comparing(LogLine::time));
    return all;
  }

  /**
   * Raises times that are earlier than those of preceding lines, so that lines keep their order
   * after a clock was set back.
   */
  private static List<LogLine> withMonotonicTimes(List<LogLine> lines) {
    List<LogLine> ordered = new ArrayList<>();
    Instant latest = Instant.MIN;
    for (LogLine line : lines) {
      latest = line.time().isAfter(latest) ? line.time() : latest;
      ordered.add(line.withTime(latest));
    }
    return ordered;
  }

  /** Returns the number of lines that could not be parsed. */
  int unparsedLines() {
    return unparsedLines;
  }
}
