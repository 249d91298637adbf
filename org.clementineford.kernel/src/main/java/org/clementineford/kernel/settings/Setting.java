package org.clementineford.kernel.settings;

import java.util.Locale;

/**
 * A setting that is read from a flag or an environment variable.
 *
 * @param name name in lower case with hyphens; the flag is {@code --name}
 * @param description one sentence for the help text, including the unit
 * @param defaultText default value in text form, or null if the setting is required
 * @param parser checks and converts the text
 * @param <T> type of the value
 */
public record Setting<T>(
    String name, String description, String defaultText, SettingParser<T> parser) {

  /**
   * Returns the name of the environment variable that is read if the flag is absent.
   *
   * @return for example {@code CLEMENTINEFORD_PEER_ADDRESS}
   */
  public String environmentVariable() {
    return "CLEMENTINEFORD_" + name.toUpperCase(Locale.ROOT).replace('-', '_');
  }

  /**
   * Returns whether the operator must give a value.
   *
   * @return true if there is no default
   */
  public boolean isRequired() {
    return defaultText == null;
  }
}
