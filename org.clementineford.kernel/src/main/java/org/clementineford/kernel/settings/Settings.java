package org.clementineford.kernel.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.clementineford.kernel.MessageCatalog;
import org.clementineford.kernel.errors.SettingException;

/**
 * Validated values of the settings of one process. A flag takes precedence over an environment
 * variable, which takes precedence over the default.
 */
public final class Settings {
  private static final MessageCatalog MESSAGES = MessageCatalog.of(MessageCatalog.class);
  private static final String HELP = "help";

  private final Map<String, Object> values;
  private final List<String> arguments;
  private final boolean helpRequested;

  private Settings(Map<String, Object> values, List<String> arguments, boolean helpRequested) {
    this.values = values;
    this.arguments = arguments;
    this.helpRequested = helpRequested;
  }

  /**
   * Reads and validates all settings.
   *
   * @param declared settings that the process accepts
   * @param commandLine arguments of the process
   * @param environment environment variables
   * @return the values; if help was requested, no values are set and only {@link
   *     #isHelpRequested()} may be called
   * @throws SettingException if a flag is unknown or a value is missing or invalid
   */
  public static Settings read(
      List<Setting<?>> declared, String[] commandLine, Map<String, String> environment)
      throws SettingException {
    CommandLine parsed;
    try {
      parsed = new DefaultParser(false).parse(options(declared), commandLine);
    } catch (ParseException e) {
      throw new SettingException(MESSAGES.format("SETTING_COMMAND_LINE", e.getMessage()));
    }
    if (parsed.hasOption(HELP)) {
      return new Settings(Map.of(), List.of(), true);
    }
    Map<String, Object> values = new HashMap<>();
    for (Setting<?> setting : declared) {
      values.put(setting.name(), value(setting, parsed, environment));
    }
    return new Settings(values, List.copyOf(parsed.getArgList()), false);
  }

  /**
   * Returns the options that the command line accepts, also for the help text.
   *
   * @param declared settings that the process accepts
   * @return one option for each setting, and {@code --help}
   */
  public static Options options(List<Setting<?>> declared) {
    Options options = new Options();
    for (Setting<?> setting : declared) {
      String suffix =
          setting.isRequired()
              ? " (required; " + setting.environmentVariable() + ")"
              : " (default \""
                  + setting.defaultText()
                  + "\"; "
                  + setting.environmentVariable()
                  + ")";
      options.addOption(
          Option.builder()
              .longOpt(setting.name())
              .hasArg()
              .argName("value")
              .desc(setting.description() + suffix)
              .get());
    }
    options.addOption(Option.builder("h").longOpt(HELP).desc("Prints this help.").get());
    return options;
  }

  private static Object value(
      Setting<?> setting, CommandLine parsed, Map<String, String> environment)
      throws SettingException {
    String source = "--" + setting.name();
    String text = parsed.getOptionValue(setting.name());
    if (text == null) {
      source = setting.environmentVariable();
      text = environment.get(source);
    }
    if (text == null) {
      source = "default of --" + setting.name();
      text = setting.defaultText();
    }
    if (text == null) {
      throw new SettingException(
          MESSAGES.format("SETTING_MISSING", setting.name(), setting.environmentVariable()));
    }
    try {
      return setting.parser().parse(text);
    } catch (SettingException e) {
      throw new SettingException(MESSAGES.format("SETTING_INVALID", source, text, e.getMessage()));
    }
  }

  /**
   * Returns the value of a setting.
   *
   * @param setting one of the declared settings
   * @param <T> type of the value
   * @return the value
   */
  @SuppressWarnings("unchecked")
  public <T> T get(Setting<T> setting) {
    return (T) values.get(setting.name());
  }

  /**
   * Returns the command-line arguments that are not flags.
   *
   * @return the arguments in order
   */
  public List<String> arguments() {
    return arguments;
  }

  /**
   * Returns whether help was requested instead of a run.
   *
   * @return true if the command line has the flag {@code --help}
   */
  public boolean isHelpRequested() {
    return helpRequested;
  }
}
