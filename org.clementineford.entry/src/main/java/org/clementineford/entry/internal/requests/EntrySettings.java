package org.clementineford.entry.internal.requests;

import java.util.List;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;
import org.clementineford.kernel.settings.Settings;

/**
 * Settings of the HTTP interface for callers.
 *
 * @param httpAddress IP address and port for callers
 * @param memoryBytes memory for requests in flight
 * @param maxBodyBytes maximum size of a request body
 * @param readinessMs delay during shutdown between failing readiness and refusing requests, in
 *     milliseconds
 */
record EntrySettings(HostPort httpAddress, long memoryBytes, int maxBodyBytes, long readinessMs) {
  private static final Setting<HostPort> HTTP_ADDRESS =
      new Setting<>(
          "http-address",
          "IP address and port for callers.",
          "127.0.0.1:8080",
          SettingParser.hostPort());
  private static final Setting<Long> REQUEST_MEMORY =
      new Setting<>(
          "request-memory-mib",
          "Memory for requests in flight, in MiB.",
          "128",
          SettingParser.wholeNumber(1, 1 << 16));
  private static final Setting<Long> MAX_BODY =
      new Setting<>(
          "max-body-kib",
          "Longest request body, in KiB.",
          "4096",
          SettingParser.wholeNumber(1, 1 << 20));
  private static final Setting<Long> READINESS =
      new Setting<>(
          "readiness-ms",
          "Time between failing /ready and refusing requests when stopping, in milliseconds.",
          "1000",
          SettingParser.wholeNumber(0, 60_000));

  static List<Setting<?>> declared() {
    return List.of(HTTP_ADDRESS, REQUEST_MEMORY, MAX_BODY, READINESS);
  }

  static EntrySettings from(Settings settings) {
    return new EntrySettings(
        settings.get(HTTP_ADDRESS),
        settings.get(REQUEST_MEMORY) << 20,
        (int) (settings.get(MAX_BODY) << 10),
        settings.get(READINESS));
  }
}
