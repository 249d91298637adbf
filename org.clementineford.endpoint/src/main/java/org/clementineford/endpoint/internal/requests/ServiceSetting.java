package org.clementineford.endpoint.internal.requests;

import java.net.URI;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.SettingException;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;

/** The setting that names the plain services of an endpoint VM. */
final class ServiceSetting {
  /** Addresses of the plain services by name of the service. */
  static final Setting<Map<String, HostPort>> SERVICES =
      new Setting<>(
          "services",
          "Plain services of this VM: NAME=URL, separated by commas.",
          "",
          addressesByName());

  private ServiceSetting() {}

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
          "\"" + part + "\" lacks a name; give for example reservations=http://127.0.0.1:7301");
    }
    URI url = SettingParser.url().parse(part.substring(equals + 1));
    String name = part.substring(0, equals);
    if (addresses.put(name, new HostPort(url.getHost(), url.getPort())) != null) {
      throw new SettingException("\"" + name + "\" is given twice; give each name once");
    }
  }
}
