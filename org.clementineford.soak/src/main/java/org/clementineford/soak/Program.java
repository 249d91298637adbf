package org.clementineford.soak;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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
  private Process process;
  private boolean endExpected = true;

  Program(String vm, String role, Path settings, Path log) {
    this.vm = vm;
    this.role = role;
    this.settings = settings;
    this.log = log;
  }

  String vm() {
    return vm;
  }

  synchronized void start() throws ClementinefordException {
    if (isRunning()) {
      return;
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
      process = builder.start();
      endExpected = false;
    } catch (IOException e) {
      throw new ClementinefordException(
          ErrorKind.LOCAL_RESOURCE, "cannot start " + vm + "; check the Java installation", e);
    }
  }

  synchronized boolean isRunning() {
    return process != null && process.isAlive();
  }

  /** Tells whether the process ended without a signal of the soak. */
  synchronized boolean hasEndedByItself() {
    return process != null && !process.isAlive() && !endExpected;
  }

  synchronized int exitCode() {
    return process.exitValue();
  }

  /** Sends SIGTERM and returns the process that should end. */
  synchronized Process terminate() {
    endExpected = true;
    process.destroy();
    return process;
  }

  synchronized void kill() {
    endExpected = true;
    process.destroyForcibly();
  }

  void pause() {
    signal("-STOP");
  }

  void resume() {
    signal("-CONT");
  }

  private synchronized void signal(String signal) {
    if (!isRunning()) {
      return;
    }
    try {
      new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
    } catch (IOException e) {
      throw new IllegalStateException("the kill command is missing", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
