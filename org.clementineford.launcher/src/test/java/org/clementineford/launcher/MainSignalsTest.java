package org.clementineford.launcher;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(120)
class MainSignalsTest {
  /** Exit code of the virtual machine after SIGTERM. */
  private static final int TERMINATED = 143;

  private static final String CHECKED = "checked the settings file";

  @TempDir private Path directory;

  @Nested
  class DuringTheStart {
    @ParameterizedTest
    @ValueSource(strings = {"entry", "endpoint"})
    void hangupBeforeTheSettingsAreReadDoesNotEndTheProcess(String role) throws Exception {
      try (VmProcess vm = new VmProcess(directory, role)) {
        vm.writeSettings(() -> vm.signal("HUP"));
        assertThat(vm.awaitLine(role + " VM started")).isPresent();
        assertThat(vm.awaitLine(CHECKED)).isPresent();
        assertThat(vm.isRunning()).isTrue();
      }
    }

    @Test
    void stopAtTheFirstConnectionIsGraceful() throws Exception {
      // Interpreted code makes the time between listening and the end of the start longer.
      try (VmProcess vm = new VmProcess(directory, "entry", "-Xint")) {
        vm.writeSettings(() -> {});
        vm.awaitListening();
        vm.terminate();
        assertThat(vm.awaitLine("\"stopping")).isPresent();
        assertThat(vm.awaitLine("\"stopped")).isPresent();
        vm.awaitEnd();
        assertThat(vm.exitCode()).isEqualTo(TERMINATED);
      }
    }

    @Test
    void stopBeforeTheSettingsAreReadEndsWithoutListening() throws Exception {
      try (VmProcess vm = new VmProcess(directory, "entry")) {
        vm.whileSettingsAreRead(
            () -> {
              vm.terminate();
              vm.awaitEnd();
            });
        assertThat(vm.awaitEnd()).noneMatch(line -> line.contains("VM started"));
        assertThat(vm.exitCode()).isEqualTo(TERMINATED);
      }
    }
  }

  @Nested
  class DuringTheStop {
    @Test
    void hangupAndSecondStopDoNotCutItShort() throws Exception {
      try (VmProcess vm = new VmProcess(directory, "entry")) {
        vm.writeSettings(() -> {});
        assertThat(vm.awaitLine("entry VM started")).isPresent();
        vm.terminate();
        assertThat(vm.awaitLine("\"stopping")).isPresent();
        vm.signal("HUP");
        vm.terminate();
        assertThat(vm.awaitLine(CHECKED)).isPresent();
        vm.terminate();
        assertThat(vm.awaitLine("\"stopped")).isPresent();
        vm.awaitEnd();
        assertThat(vm.exitCode()).isEqualTo(TERMINATED);
      }
    }
  }
}
