package org.clementineford.kernel.settings;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.MessageCatalog;
import org.clementineford.kernel.errors.SettingException;

/**
 * Checks and converts the text of a setting.
 *
 * @param <T> type of the value
 */
@FunctionalInterface
public interface SettingParser<T> {
  /** Error messages for invalid values; each describes the valid values. */
  MessageCatalog MESSAGES = MessageCatalog.of(MessageCatalog.class);

  /**
   * Converts a text to a value.
   *
   * @param text text from the flag, the environment variable or the default
   * @return the value
   * @throws SettingException if the text is invalid; the message describes the valid texts
   */
  T parse(String text) throws SettingException;

  /**
   * Accepts any text that is not blank.
   *
   * @return the parser
   */
  static SettingParser<String> text() {
    return text -> {
      if (text.isBlank()) {
        throw new SettingException(MESSAGES.format("SETTING_EMPTY"));
      }
      return text;
    };
  }

  /**
   * Accepts any text, including the empty text.
   *
   * @return the parser
   */
  static SettingParser<String> optionalText() {
    return text -> text;
  }

  /**
   * Accepts integers in a range.
   *
   * @param lowest smallest valid value
   * @param highest largest valid value
   * @return the parser
   */
  static SettingParser<Long> wholeNumber(long lowest, long highest) {
    return text -> {
      try {
        long value = Long.parseLong(text.trim());
        if (value >= lowest && value <= highest) {
          return value;
        }
      } catch (NumberFormatException e) {
        // Handled by the throw statement below, like values out of range.
      }
      throw new SettingException(MESSAGES.format("SETTING_NOT_WHOLE_NUMBER", lowest, highest));
    };
  }

  /**
   * Accepts numbers in a range.
   *
   * @param lowest smallest valid value
   * @param highest largest valid value
   * @return the parser
   */
  static SettingParser<Double> number(double lowest, double highest) {
    return text -> {
      try {
        double value = Double.parseDouble(text.trim());
        if (value >= lowest && value <= highest) {
          return value;
        }
      } catch (NumberFormatException e) {
        // Handled by the throw statement below, like values out of range.
      }
      throw new SettingException(MESSAGES.format("SETTING_NOT_NUMBER", lowest, highest));
    };
  }

  /**
   * Accepts {@code true} and {@code false}.
   *
   * @return the parser
   */
  static SettingParser<Boolean> trueOrFalse() {
    return text -> {
      if (text.equals("true") || text.equals("false")) {
        return Boolean.valueOf(text);
      }
      throw new SettingException(MESSAGES.format("SETTING_NOT_FLAG"));
    };
  }

  /**
   * Accepts an address in the form {@code host:port}.
   *
   * @return the parser
   */
  static SettingParser<HostPort> hostPort() {
    return HostPort::parse;
  }

  /**
   * Accepts addresses separated by commas; an empty text gives an empty list.
   *
   * @return the parser
   */
  static SettingParser<List<HostPort>> hostPorts() {
    return text -> {
      List<HostPort> addresses = new ArrayList<>();
      for (String part : text.split(",")) {
        if (!part.isBlank()) {
          addresses.add(HostPort.parse(part.trim()));
        }
      }
      return List.copyOf(addresses);
    };
  }

  /**
   * Accepts a URL with scheme, IP address and port.
   *
   * @return the parser
   */
  static SettingParser<URI> url() {
    return text -> {
      try {
        URI uri = URI.create(text.trim());
        if (uri.getScheme() != null && uri.getHost() != null && uri.getPort() > 0) {
          return uri;
        }
      } catch (IllegalArgumentException e) {
        // Handled by the throw statement below, like incomplete URLs.
      }
      throw new SettingException(MESSAGES.format("SETTING_NOT_URL"));
    };
  }
}
