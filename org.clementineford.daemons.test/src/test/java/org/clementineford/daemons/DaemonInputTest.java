package org.clementineford.daemons;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.ErrorKind;
import org.junit.jupiter.api.Test;

/** Guards against daemons that start with bad input, or fail without saying what to change. */
class DaemonInputTest {
  private static final List<String> COMMON =
      List.of(
          "--vm",
          "vm-1",
          "--data-centre",
          "lorient",
          "--region",
          "brittany",
          "--platform",
          "http://127.0.0.1:9");

  private record Outcome(int exitCode, String message) {}

  private static Outcome start(VmRole role, String... more) {
    List<String> arguments = new ArrayList<>(COMMON);
    arguments.addAll(List.of(more));
    ByteArrayOutputStream errors = new ByteArrayOutputStream();
    int exitCode =
        Daemon.start(
            "test",
            role,
            arguments.toArray(String[]::new),
            new PrintStream(errors, true, StandardCharsets.UTF_8));
    return new Outcome(exitCode, errors.toString(StandardCharsets.UTF_8));
  }

  private static void assertRefused(Outcome outcome, ErrorKind kind, String... parts) {
    assertThat(outcome.exitCode()).isEqualTo(kind.exitCode());
    assertThat(outcome.message()).contains(parts).hasLineCount(1);
  }

  @Test
  void unknownFlagIsNamed() {
    assertRefused(
        start(VmRole.ENTRY, "--http-adress", "127.0.0.1:8080"),
        ErrorKind.INVALID_SETTING,
        "--http-adress",
        "--help");
  }

  @Test
  void missingOriginIsNamed() {
    assertRefused(
        start(VmRole.ENDPOINT), ErrorKind.INVALID_SETTING, "--origin", "CLEMENTINEFORD_ORIGIN");
  }

  @Test
  void malformedEngineIsQuoted() {
    assertRefused(
        start(VmRole.ENDPOINT, "--origin", "http://127.0.0.1:9", "--engines", "assistant"),
        ErrorKind.INVALID_SETTING,
        "--engines",
        "\"assistant\"",
        "NAME=http://");
  }

  @Test
  void everyPortInUseIsReported() throws Exception {
    try (ServerSocket used = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      String address = "127.0.0.1:" + used.getLocalPort();
      for (String flag : List.of("--peer-address", "--admin-address", "--http-address")) {
        assertRefused(start(VmRole.ENTRY, flag, address), ErrorKind.LOCAL_RESOURCE, address);
      }
      for (String flag : List.of("--peer-address", "--admin-address", "--weights-address")) {
        assertRefused(
            start(VmRole.ENDPOINT, "--origin", "http://127.0.0.1:9", flag, address),
            ErrorKind.LOCAL_RESOURCE,
            address);
      }
    }
  }
}
