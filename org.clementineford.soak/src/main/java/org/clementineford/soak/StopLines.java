package org.clementineford.soak;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;

/**
 * Compares the requests that entry VMs had read with those that had ended when they stopped, as
 * their last lines say.
 */
final class StopLines {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** What a process logs once it listens. */
  private static final String STARTED = "entry VM started";

  private static final String STOPPED = "stopped";

  private final SoakFleet fleet;

  StopLines(SoakFleet fleet) {
    this.fleet = fleet;
  }

  /** Returns one sentence for each planned stop after which the counts are missing or differ. */
  List<String> check() throws ClementinefordException {
    List<String> broken = new ArrayList<>();
    for (Program entry : fleet.entries()) {
      byte[] log = read(entry);
      List<ProgramLife> lives = entry.lives();
      for (int i = 0; i < lives.size(); i++) {
        if (lives.get(i).hasStoppedAsPlanned()) {
          int from = (int) lives.get(i).logOffset();
          int to = i + 1 < lives.size() ? (int) lives.get(i + 1).logOffset() : log.length;
          judge(new String(log, from, to - from, StandardCharsets.UTF_8))
              .ifPresent(text -> broken.add(entry.vm() + " " + text));
        }
      }
    }
    return broken;
  }

  private static byte[] read(Program entry) throws ClementinefordException {
    try {
      return Files.readAllBytes(entry.log());
    } catch (IOException e) {
      throw new ClementinefordException(
          ErrorKind.LOCAL_RESOURCE, "cannot read " + entry.log() + "; check the directory", e);
    }
  }

  /** Returns what is wrong with the log of one life; a life that did not begin to listen is not. */
  static Optional<String> judge(String log) {
    List<JsonNode> lines = Arrays.stream(log.split("\n")).map(StopLines::parse).toList();
    if (lines.stream().noneMatch(line -> message(line).equals(STARTED))) {
      return Optional.empty();
    }
    List<JsonNode> stops = lines.stream().filter(line -> message(line).equals(STOPPED)).toList();
    if (stops.isEmpty()) {
      return Optional.of("ended after SIGTERM without the line of its stop");
    }
    JsonNode stop = stops.get(stops.size() - 1);
    Optional<JsonNode> read = value(stop, "read");
    Optional<JsonNode> ended = value(stop, "ended");
    String at = " at its stop at " + Instant.ofEpochMilli(stop.path("timestamp").asLong());
    if (read.isEmpty() || ended.isEmpty()) {
      return Optional.of("did not say how many requests it had read and ended" + at);
    }
    return read.get().asLong() == ended.get().asLong()
        ? Optional.empty()
        : Optional.of(
            "had read "
                + read.get().asLong()
                + " requests, of which "
                + ended.get().asLong()
                + " had ended"
                + at);
  }

  private static JsonNode parse(String line) {
    try {
      return JSON.readTree(line);
    } catch (JsonProcessingException e) {
      // The virtual machine writes lines of its own.
      return JSON.createObjectNode();
    }
  }

  private static String message(JsonNode line) {
    return line.path("formattedMessage").asText();
  }

  private static Optional<JsonNode> value(JsonNode line, String key) {
    for (JsonNode entry : line.path("kvpList")) {
      if (entry.has(key)) {
        return Optional.of(entry.get(key));
      }
    }
    return Optional.empty();
  }
}
