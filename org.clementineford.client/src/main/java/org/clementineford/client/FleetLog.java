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
 * The logs of many processes, brought to the clock of one of them. Clocks are compared by what all
 * processes learn from the platform, such as a version of the configuration.
 */
public final class FleetLog {
  /**
   * Difference up to which clocks count as equal: processes learn of one change up to this much
   * apart, as a watch of the platform takes up to a second.
   */
  private static final Duration MARK_DELAY = Duration.ofMillis(1_500);

  /** Messages that processes write at once when they learn of a version, with its number. */
  private static final Set<String> MARKS =
      Set.of("configuration in force", "version of weights named");

  private static final ObjectMapper JSON = new ObjectMapper();

  private final Map<String, List<LogLine>> linesByVm = new TreeMap<>();
  private final Map<String, Duration> offsets = new TreeMap<>();
  private int unreadable;

  /**
   * Reads logs.
   *
   * @param paths files with the standard output of one process each, named after its VM, or
   *     directories of such files
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
      // Collectors may write the VM or a time before the line.
      int start = line.indexOf('{');
      if (start < 0) {
        unreadable += line.isBlank() ? 0 : 1;
        continue;
      }
      try {
        lines.add(parse(vm, JSON.readTree(line.substring(start))));
      } catch (JsonProcessingException e) {
        // Counted, and reported with the explanation: a process may be killed inside a line.
        unreadable++;
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
   * Brings all logs to the clock of one VM, as far as their differences are known.
   *
   * @param vm the VM
   */
  void alignTo(String vm) {
    Map<String, Instant> reference = marks(linesByVm.getOrDefault(vm, List.of()));
    linesByVm.forEach(
        (other, lines) -> {
          Duration offset = other.equals(vm) ? Duration.ZERO : offset(marks(lines), reference);
          offsets.put(other, offset);
          lines.replaceAll(line -> line.at(line.time().minus(offset)));
        });
  }

  private static Map<String, Instant> marks(List<LogLine> lines) {
    Map<String, Instant> marks = new HashMap<>();
    for (LogLine line : lines) {
      if (MARKS.contains(line.message())) {
        marks.putIfAbsent(line.message() + " " + line.field("version"), line.time());
      }
    }
    return marks;
  }

  /** Returns the smallest difference, as marks are late when a VM was cut off. */
  private static Duration offset(Map<String, Instant> marks, Map<String, Instant> reference) {
    return marks.entrySet().stream()
        .filter(mark -> reference.containsKey(mark.getKey()))
        .map(mark -> Duration.between(reference.get(mark.getKey()), mark.getValue()))
        .min(Comparator.comparing(Duration::abs))
        .filter(difference -> difference.abs().compareTo(MARK_DELAY) > 0)
        .orElse(Duration.ZERO);
  }

  /** Returns by how much the clock of each VM was ahead; zero where it counts as equal. */
  Map<String, Duration> offsets() {
    return Collections.unmodifiableMap(offsets);
  }

  /** Returns all lines by their time; the lines of one VM keep their order. */
  List<LogLine> lines() {
    List<LogLine> all = new ArrayList<>();
    linesByVm.values().forEach(lines -> all.addAll(inOrder(lines)));
    all.sort(Comparator.comparing(LogLine::time));
    return all;
  }

  /** A clock that was set back must not put a line before those that were written earlier. */
  private static List<LogLine> inOrder(List<LogLine> lines) {
    List<LogLine> ordered = new ArrayList<>();
    Instant latest = Instant.MIN;
    for (LogLine line : lines) {
      latest = line.time().isAfter(latest) ? line.time() : latest;
      ordered.add(line.at(latest));
    }
    return ordered;
  }

  /** Returns the number of lines that could not be read. */
  int unreadable() {
    return unreadable;
  }
}
