package org.clementineford.client.internal;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.SettingException;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.Settings;

/** Entry point of {@code bin/clementineford}. */
public final class Main {
  private static final String PROGRAM = "clementineford";

  private Main() {}

  /**
   * Runs one command.
   *
   * @param arguments command words, flags and arguments
   */
  public static void main(String[] arguments) {
    try {
      System.out.println(run(arguments, System.getenv()));
      System.exit(0);
    } catch (ClementinefordException e) {
      System.err.println(e.getMessage());
      System.exit(e.kind().exitCode());
    }
  }

  /**
   * Runs one command.
   *
   * @param arguments command words, flags and arguments
   * @param environment environment variables
   * @return text for standard output
   * @throws ClementinefordException if the command fails; its kind determines the exit code
   */
  public static String run(String[] arguments, Map<String, String> environment)
      throws ClementinefordException {
    List<Command> commands = commands();
    Optional<Command> found =
        commands.stream().filter(command -> matches(command, arguments)).findFirst();
    if (found.isEmpty()) {
      boolean help = arguments.length == 0 || Arrays.asList(arguments).contains("--help");
      if (help) {
        return overview(commands);
      }
      throw new SettingException(
          "no command is named \""
              + String.join(" ", Arrays.asList(arguments).subList(0, Math.min(2, arguments.length)))
              + "\"; --help lists the commands");
    }
    Command command = found.get();
    int words = command.name().split(" ").length;
    String[] rest = Arrays.copyOfRange(arguments, words, arguments.length);
    Settings settings = Settings.read(command.settings(), rest, environment);
    if (settings.isHelpRequested()) {
      return help(command);
    }
    if (settings.arguments().size() != command.arguments().size()) {
      throw new SettingException(
          command.name()
              + " takes the arguments "
              + command.arguments()
              + ", not "
              + settings.arguments()
              + "; --help shows the usage");
    }
    return command.handler().run(settings);
  }

  /**
   * Returns the settings of each command.
   *
   * @return settings by command name
   */
  public static Map<String, List<Setting<?>>> declaredSettings() {
    Map<String, List<Setting<?>>> declared = new java.util.LinkedHashMap<>();
    commands().forEach(command -> declared.put(command.name(), command.settings()));
    return declared;
  }

  private static List<Command> commands() {
    List<Command> commands = new ArrayList<>(DocumentCommands.all());
    commands.addAll(FleetCommands.all());
    commands.addAll(LogCommands.all());
    return commands;
  }

  private static boolean matches(Command command, String[] arguments) {
    List<String> words = List.of(command.name().split(" "));
    return arguments.length >= words.size()
        && Arrays.asList(arguments).subList(0, words.size()).equals(words);
  }

  private static String overview(List<Command> commands) {
    StringBuilder text = new StringBuilder("usage: " + PROGRAM + " COMMAND [flags]\n\n");
    for (Command command : commands) {
      text.append(String.format("  %-18s %s%n", command.name(), command.summary()));
    }
    text.append("\nCOMMAND --help lists the flags of a command.\n\nexit codes: 0 success");
    for (ErrorKind kind : ErrorKind.values()) {
      text.append(String.format(", %d %s", kind.exitCode(), kind.name()));
    }
    return text.toString();
  }

  private static String help(Command command) {
    StringWriter text = new StringWriter();
    try {
      HelpFormatter.builder()
          .setHelpAppendable(new TextHelpAppendable(new PrintWriter(text)))
          .setShowSince(false)
          .get()
          .printHelp(
              PROGRAM + " " + command.name() + " " + String.join(" ", command.arguments()),
              command.summary(),
              Settings.options(command.settings()),
              "",
              true);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return text.toString().stripTrailing();
  }
}
