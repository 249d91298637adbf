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

/** Settings that list the back ends of an endpoint VM. */
public final class BackEndSettings {
  /** Engine addresses by model; several entries may name the same model. */
  public static final Setting<Map<String, List<HostPort>>> ENGINES =
      new Setting<>(
          "engines",
          "Model engines of this VM: MODEL=URL, separated by commas.",
          "",
          BackEndSettings::parse);

  /** Addresses of the plain services by service name. */
  public static final Setting<Map<String, HostPort>> SERVICES =
      new Setting<>(
          "services",
          "Plain services of this VM: NAME=URL, separated by commas.",
          "",
          BackEndSettings::parseUnique);

  private BackEndSettings() {}

  private static Map<String, HostPort> parseUnique(String text) throws SettingException {
    Map<String, HostPort> services = new TreeMap<>();
    for (Map.Entry<String, List<HostPort>> entry : parse(text).entrySet()) {
      if (entry.getValue().size() > 1) {
        throw new SettingException(
            "\"" + entry.getKey() + "\" is listed twice; list each service once");
      }
      services.put(entry.getKey(), entry.getValue().get(0));
    }
    return services;
  }

  private static Map<String, List<HostPort>> parse(String text) throws SettingException {
    Map<String, List<HostPort>> backEnds = new TreeMap<>();
    for (String part : text.split(",")) {
      if (part.isBlank()) {
        continue;
      }
      int equals = part.indexOf('=');
      if (equals < 1) {
        throw new SettingException("\"" + part + "\" has no name; use NAME=http://127.0.0.1:PORT");
      }
      URI url = SettingParser.url().parse(part.substring(equals + 1));
      backEnds
          .computeIfAbsent(part.substring(0, equals).trim(), name -> new ArrayList<>())
          .add(new HostPort(url.getHost(), url.getPort()));
    }
    return backEnds;
  }
}
