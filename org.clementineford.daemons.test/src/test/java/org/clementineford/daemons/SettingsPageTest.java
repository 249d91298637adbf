package org.clementineford.daemons;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class SettingsPageTest {
  /** Guards against docs/settings.md falling behind the code. */
  @Test
  void matchesTheCommittedPage() throws Exception {
    String generated = SettingsPage.text() + org.clementineford.client.internal.SettingsPage.text();
    assertThat(Files.readString(Path.of("../docs/settings.md")))
        .as("run bin/settings-page > docs/settings.md")
        .isEqualTo(generated);
  }
}
