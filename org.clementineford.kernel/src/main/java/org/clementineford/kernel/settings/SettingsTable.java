package org.clementineford.kernel.settings;

import java.util.List;

/** Formats settings as a Markdown table for the documentation. */
public final class SettingsTable {
  private SettingsTable() {}

  /**
   * Returns a section of the documentation with one table row for each setting.
   *
   * @param title title of the section
   * @param settings settings in the order of the table
   * @return Markdown text that ends with a line break
   */
  public static String of(String title, List<Setting<?>> settings) {
    StringBuilder text = new StringBuilder("\n## " + title + "\n\n");
    text.append("| flag | environment variable | default | meaning |\n|---|---|---|---|\n");
    for (Setting<?> setting : settings) {
      String defaultText = setting.isRequired() ? "required" : "`" + setting.defaultText() + "`";
      text.append("| `--")
          .append(setting.name())
          .append("` | `")
          .append(setting.environmentVariable())
          .append("` | ")
          .append(defaultText.equals("``") ? "empty" : defaultText)
          .append(" | ")
          .append(setting.description().replace("|", "\\|"))
          .append(" |\n");
    }
    return text.toString();
  }
}
