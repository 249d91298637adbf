package org.clementineford.client;

import java.time.Instant;
import java.util.Map;

/**
 * One line of a process's log.
 *
 * @param vm name of the log, which is the name of its VM
 * @param time when it was written, by the clock that all logs were brought to
 * @param level level of the line
 * @param message what happened
 * @param fields what it concerns and what decided it, by name, in the order of the line
 */
public record LogLine(
    String vm, Instant time, String level, String message, Map<String, String> fields) {
  /**
   * Returns a field.
   *
   * @param name name of the field
   * @return its value; empty if the line has no such field
   */
  public String field(String name) {
    return fields.getOrDefault(name, "");
  }

  LogLine at(Instant newTime) {
    return new LogLine(vm, newTime, level, message, fields);
  }
}
