package org.clementineford.endpoint;

import java.net.URI;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.SettingException;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;

/** Settings that name the back ends of an endpoint VM. */
public final class BackEndSettings {
  /** Addresses of the model engines by name of the model. */
  public static final Setting<Map<String, HostPort>> ENGINES =
      new Setting<>(
          "engines", "Model engines as MODEL=URL, separated by commas.", "", addressesByName());

  /** Addresses of the plain services by name of the service. */
  public static final Setting<Map<String, HostPort>> SERVICES =
      new Setting<>(
          "services", "Plain services as NAME=URL, separated by commas.", "", addressesByName());

  private BackEndSettings() {}

  private static SettingParser<Map<String, HostPort>> addressesByName() {
    return text -> {
      Map<String, HostPort> addresses = new LinkedHashMap<>();
      for (String part : text.split(",")) {
        if (!part.isBlank()) {
          add(addresses, part.trim());
        }
      }
      return Collections.unmodifiableMap(addresses);
    };
  }

  private static void add(Map<String, HostPort> addresses, String part) throws SettingException {
    int equals = part.indexOf('=');
    if (equals < 1) {
      throw new SettingException(
          "\"" + part + "\" lacks a name; give for example assistant=http://127.0.0.1:7201");
    }
    URI url = SettingParser.url().parse(part.substring(equals + 1));
    String name = part.substring(0, equals);
    if (addresses.put(name, new HostPort(url.getHost(), url.getPort())) != null) {
      throw new SettingException("\"" + name + "\" is given twice; give each name once");
    }
  }
}
