package org.clementineford.soak;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.platform.standin.PlatformFiles;

/** One process of the product. Signals go only to the process that was started here. */
final class Program {
  private static final List<String> JAVA =
      List.of(
          Path.of(System.getProperty("java.home"), "bin", "java").toString(),
          "-Xmx96m",
          "-Xss256k",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-cp",
          System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
          "org.clementineford.launcher.Main");

  private final String vm;
  private final String role;
  private final Path settings;
  private final Path log;
  private final NanoClock clock;
  private final List<ProgramLife> lives = new ArrayList<>();

  Program(String vm, String role, Path settings, Path log, NanoClock clock) {
    this.vm = vm;
    this.role = role;
    this.settings = settings;
    this.log = log;
    this.clock = clock;
  }

  String vm() {
    return vm;
  }

  /** Starts the process unless it runs, and returns its life. */
  synchronized ProgramLife start() throws ClementinefordException {
    if (isRunning()) {
      return current();
    }
    List<String> command = new ArrayList<>(JAVA);
    command.add(role);
    command.addAll(List.of("--metrics-port", Integer.toString(RequestCounts.METRICS_PORT)));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().putAll(Map.of(PlatformFiles.SETTINGS_VARIABLE, settings.toString()));
    builder.redirectErrorStream(true);
    File output = log.toFile();
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output));
    try {
      long logOffset = output.length();
      lives.add(new ProgramLife(builder.start(), logOffset, clock));
      return current();
    } catch (IOException e) {
      throw new ClementinefordException(
          ErrorKind.LOCAL_RESOURCE, "cannot start " + vm + "; check the Java installation", e);
    }
  }

  synchronized boolean isRunning() {
    return !lives.isEmpty() && current().isRunning();
  }

  private ProgramLife current() {
    return lives.get(lives.size() - 1);
  }

  /** Returns all lives, the last of which may go on. */
  synchronized List<ProgramLife> lives() {
    return List.copyOf(lives);
  }

  /** Returns the log of all lives. */
  Path log() {
    return log;
  }

  /** Sends SIGTERM and returns the life that should end. */
  synchronized ProgramLife terminate() {
    current().terminate();
    return current();
  }

  synchronized void kill() {
    current().kill();
  }

  synchronized void pause() {
    current().signal("-STOP");
  }

  synchronized void resume() {
    current().signal("-CONT");
  }
}
