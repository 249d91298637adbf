package org.clementineford.client;

import java.time.Instant;
import java.util.Map;

/**
 * A line in the log of a process.
 *
 * @param vm name of the log, which is the name of its VM
 * @param time time of the line, adjusted to the reference clock once the logs are aligned
 * @param level log level
 * @param message log message
 * @param fields structured fields by name, in the order of the line
 */
public record LogLine(
    String vm, Instant time, String level, String message, Map<String, String> fields) {
  /**
   * Returns a field.
   *
   * @param name name of the field
   * @return value of the field, or an empty string if the line has no such field
   */
  public String field(String name) {
    return fields.getOrDefault(name, "");
  }

  LogLine withTime(Instant newTime) {
    return new LogLine(vm, newTime, level, message, fields);
  }
}
