package org.clementineford.endpoint;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.SettingException;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;

/** The setting that names the engines of an endpoint VM. */
public final class EngineSetting {
  /** Engines by the model that they run; several entries may name the same model. */
  public static final Setting<Map<String, List<HostPort>>> ENGINES =
      new Setting<>(
          "engines",
          "Model engines of this VM: MODEL=URL, separated by commas.",
          "",
          EngineSetting::parse);

  private EngineSetting() {}

  private static Map<String, List<HostPort>> parse(String text) throws SettingException {
    Map<String, List<HostPort>> engines = new TreeMap<>();
    for (String part : text.split(",")) {
      if (part.isBlank()) {
        continue;
      }
      int equals = part.indexOf('=');
      if (equals <= 0) {
        throw new SettingException(
            "\"" + part + "\" names no model; give MODEL=http://127.0.0.1:PORT");
      }
      URI url = SettingParser.url().parse(part.substring(equals + 1));
      engines
          .computeIfAbsent(part.substring(0, equals).trim(), model -> new ArrayList<>())
          .add(new HostPort(url.getHost(), url.getPort()));
    }
    return engines;
  }
}
