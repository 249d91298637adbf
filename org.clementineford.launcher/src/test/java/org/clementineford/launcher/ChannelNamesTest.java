package org.clementineford.launcher;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(120)
class ChannelNamesTest {
  @TempDir private Path directory;

  // Guards against the warning at each start, and against calls into the system for mere names.
  @ParameterizedTest
  @ValueSource(strings = {"entry", "endpoint"})
  void startLooksUpNeitherTheMachineNorTheProcess(String role) throws Exception {
    try (VmProcess vm = new VmProcess(directory, role, "-Xlog:class+load")) {
      vm.writeSettings(() -> {});
      assertThat(vm.awaitLine(role + " VM started")).isPresent();
      assertThat(vm.awaitLine("platform not reached")).isPresent();
      vm.terminate();
      List<String> lines = vm.awaitEnd();
      assertThat(lines).anyMatch(line -> line.contains(" io.netty.channel.DefaultChannelId "));
      assertThat(lines)
          .filteredOn(line -> line.contains("\"WARN\"") || line.contains("\"ERROR\""))
          .noneMatch(line -> line.contains("io.netty"));
      assertThat(lines).noneMatch(line -> line.contains(" java.lang.ProcessHandleImpl "));
    }
  }
}
