package org.clementineford.client.internal;

import org.clementineford.kernel.settings.SettingsTable;

/** Prints the second part of {@code docs/settings.md}: the flags of the client's commands. */
public final class SettingsPage {
  private SettingsPage() {}

  /**
   * Prints the text.
   *
   * @param arguments none
   */
  public static void main(String[] arguments) {
    System.out.print(text());
  }

  /**
   * Returns the text.
   *
   * @return Markdown text that ends with a line break
   */
  public static String text() {
    StringBuilder text = new StringBuilder();
    Main.declaredSettings()
        .forEach(
            (command, settings) ->
                text.append(SettingsTable.of("`clementineford " + command + "`", settings)));
    return text.toString();
  }
}
