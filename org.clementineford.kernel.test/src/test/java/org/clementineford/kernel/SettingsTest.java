package org.clementineford.kernel;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import org.clementineford.kernel.errors.SettingException;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;
import org.clementineford.kernel.settings.Settings;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SettingsTest {
  private static final Setting<Long> SLOTS =
      new Setting<>("upload-slots", "Uploads at a time.", "4", SettingParser.wholeNumber(1, 64));
  private static final Setting<String> VM =
      new Setting<>("vm", "Name of the VM.", null, SettingParser.text());
  private static final List<Setting<?>> DECLARED = List.of(SLOTS, VM);

  private static Settings read(Map<String, String> environment, String... arguments)
      throws SettingException {
    return Settings.read(DECLARED, arguments, environment);
  }

  @Nested
  class Precedence {
    // Guards against an environment variable that silently overrides a flag.
    @Test
    void flagOverridesEnvironmentWhichOverridesDefault() throws SettingException {
      Map<String, String> environment = Map.of("CLEMENTINEFORD_UPLOAD_SLOTS", "8");
      assertThat(read(environment, "--vm", "a", "--upload-slots", "9").get(SLOTS)).isEqualTo(9);
      assertThat(read(environment, "--vm", "a").get(SLOTS)).isEqualTo(8);
      assertThat(read(Map.of(), "--vm", "a").get(SLOTS)).isEqualTo(4);
    }
  }

  @Nested
  class Errors {
    // Guards against messages that omit the name of the setting or the remedy.
    @Test
    void nameSettingValueAndRemedy() {
      assertThatThrownBy(() -> read(Map.of(), "--vm", "a", "--upload-slots", "many"))
          .isInstanceOf(SettingException.class)
          .hasMessage(
              "setting --upload-slots has the value \"many\": give a whole number from 1 to 64");
      assertThatThrownBy(() -> read(Map.of()))
          .hasMessage("setting --vm is missing; give the flag or set CLEMENTINEFORD_VM");
      assertThatThrownBy(() -> read(Map.of(), "--vmm", "a")).hasMessageContaining("--vmm");
    }
  }
}
