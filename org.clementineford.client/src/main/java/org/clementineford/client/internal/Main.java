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
   * @param arguments words of the command, flags and arguments
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
   * @param arguments words of the command, flags and arguments
   * @param environment environment variables
   * @return text for standard output
   * @throws ClementinefordException the exit code is that of its kind
   */
  public static String run(String[] arguments, Map<String, String> environment)
      throws ClementinefordException {
    List<Operation> operations = operations();
    Optional<Operation> found =
        operations.stream().filter(operation -> matches(operation, arguments)).findFirst();
    if (found.isEmpty()) {
      boolean help = arguments.length == 0 || Arrays.asList(arguments).contains("--help");
      if (help) {
        return overview(operations);
      }
      throw new SettingException(
          "no command is named \""
              + String.join(" ", Arrays.asList(arguments).subList(0, Math.min(2, arguments.length)))
              + "\"; --help lists the commands");
    }
    Operation operation = found.get();
    int words = operation.name().split(" ").length;
    String[] rest = Arrays.copyOfRange(arguments, words, arguments.length);
    Settings settings = Settings.read(operation.settings(), rest, environment);
    if (settings.isHelpRequested()) {
      return help(operation);
    }
    if (settings.arguments().size() != operation.arguments().size()) {
      throw new SettingException(
          operation.name()
              + " takes the arguments "
              + operation.arguments()
              + ", not "
              + settings.arguments()
              + "; --help shows the form");
    }
    return operation.body().run(settings);
  }

  /**
   * Returns the settings of each command.
   *
   * @return settings by words of the command
   */
  public static Map<String, List<Setting<?>>> declaredSettings() {
    Map<String, List<Setting<?>>> declared = new java.util.LinkedHashMap<>();
    operations().forEach(operation -> declared.put(operation.name(), operation.settings()));
    return declared;
  }

  private static List<Operation> operations() {
    List<Operation> operations = new ArrayList<>(DocumentCommands.all());
    operations.addAll(FleetCommands.all());
    operations.addAll(LogCommands.all());
    return operations;
  }

  private static boolean matches(Operation operation, String[] arguments) {
    List<String> words = List.of(operation.name().split(" "));
    return arguments.length >= words.size()
        && Arrays.asList(arguments).subList(0, words.size()).equals(words);
  }

  private static String overview(List<Operation> operations) {
    StringBuilder text = new StringBuilder("usage: " + PROGRAM + " COMMAND [flags]\n\n");
    for (Operation operation : operations) {
      text.append(String.format("  %-18s %s%n", operation.name(), operation.summary()));
    }
    text.append("\nCOMMAND --help lists the flags of a command.\n\nexit codes: 0 success");
    for (ErrorKind kind : ErrorKind.values()) {
      text.append(String.format(", %d %s", kind.exitCode(), kind.name()));
    }
    return text.toString();
  }

  private static String help(Operation operation) {
    StringWriter text = new StringWriter();
    try {
      HelpFormatter.builder()
          .setHelpAppendable(new TextHelpAppendable(new PrintWriter(text)))
          .setShowSince(false)
          .get()
          .printHelp(
              PROGRAM + " " + operation.name() + " " + String.join(" ", operation.arguments()),
              operation.summary(),
              Settings.options(operation.settings()),
              "",
              true);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return text.toString().stripTrailing();
  }
}
