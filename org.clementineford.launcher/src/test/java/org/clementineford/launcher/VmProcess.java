package org.clementineford.launcher;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** The program of a VM as a child process that reads its settings from a named pipe. */
final class VmProcess implements AutoCloseable {
  private static final long LINE_TIMEOUT_S = 60;
  private static final String END = "end of output";

  private final Path settings;
  private final Process process;
  private final BlockingQueue<String> unread = new LinkedBlockingQueue<>();
  private final List<String> read = new ArrayList<>();
  private int callerPort;

  /**
   * Starts the program, which waits until {@link #writeSettings} is called.
   *
   * @param directory empty directory for the settings
   * @param role role of the VM
   * @param options options of the virtual machine
   */
  VmProcess(Path directory, String role, String... options)
      throws IOException, InterruptedException {
    settings = directory.resolve("settings.json");
    run("mkfifo", settings.toString());
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    command.addAll(Arrays.asList(options));
    command.addAll(
        List.of(
            "-cp",
            System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
            Main.class.getName(),
            role));
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().put("CLEMENTINEFORD_BOOT", settings.toString());
    process = builder.start();
    Thread reader = new Thread(this::readOutput, "output of " + role);
    reader.setDaemon(true);
    reader.start();
  }

  private static void run(String... command) throws IOException, InterruptedException {
    if (new ProcessBuilder(command).inheritIO().start().waitFor() != 0) {
      throw new IOException("failed: " + List.of(command));
    }
  }

  private void readOutput() {
    try (BufferedReader output = process.inputReader(StandardCharsets.UTF_8)) {
      for (String line = output.readLine(); line != null; line = output.readLine()) {
        unread.add(line);
      }
    } catch (IOException e) {
      unread.add(e.toString());
    }
    unread.add(END);
  }

  /**
   * Waits until the program reads its settings, runs an action, and then writes the settings, which
   * are those of an entry VM with an engine and an unreachable platform.
   */
  void writeSettings(Action beforeWrite) throws Exception {
    String text = settingsText();
    Path copy = settings.resolveSibling("copy.json");
    Files.writeString(copy, text);
    try (OutputStream pipe = Files.newOutputStream(settings)) {
      // Later reads find a file.
      Files.move(copy, settings, StandardCopyOption.REPLACE_EXISTING);
      beforeWrite.run();
      pipe.write(text.getBytes(StandardCharsets.UTF_8));
    }
  }

  /** Waits until the program reads its settings, runs an action, and writes nothing. */
  void whileSettingsAreRead(Action action) throws Exception {
    try (OutputStream pipe = Files.newOutputStream(settings)) {
      action.run();
      pipe.flush();
    }
  }

  private String settingsText() throws IOException {
    int datagramPort;
    try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      datagramPort = free.getLocalPort();
    }
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      callerPort = free.getLocalPort();
    }
    String format =
        "{'node_name': 'a', 'ip': '127.0.0.1', 'zone': 'z', 'region': 'z', 'zones': {'z': 'z'},"
            + "'listen': {'front': '127.0.0.1:%d', 'ready': '127.0.0.1:0',"
            + " 'control': '127.0.0.1:0'}, 'internal_port_range': [%d, %d], 'seeds': [],"
            + "'app': '127.0.0.1:1', 'service': 's', 'bounds': {'grace_s': 8},"
            + "'platform': {'address': '127.0.0.1:1'}}";
    return String.format(format, callerPort, datagramPort - 1, datagramPort + 14)
        .replace('\'', '"');
  }

  /** Waits until the program accepts connections of callers. */
  void awaitListening() {
    while (process.isAlive()) {
      try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), callerPort)) {
        return;
      } catch (IOException e) {
        Thread.onSpinWait();
      }
    }
  }

  /** Sends a signal to the child process. */
  void signal(String name) throws IOException, InterruptedException {
    run("kill", "-" + name, Long.toString(process.pid()));
  }

  /** Sends SIGTERM to the child process, at once. */
  void terminate() {
    // Process.destroy would close the streams too.
    process.toHandle().destroy();
  }

  /** Returns the first line that contains a text; empty if the output ends without it. */
  Optional<String> awaitLine(String text) throws InterruptedException {
    int next = 0;
    while (true) {
      for (; next < read.size(); next++) {
        if (read.get(next).contains(text)) {
          return Optional.of(read.get(next));
        }
      }
      if (read.contains(END)) {
        return Optional.empty();
      }
      String line = unread.poll(LINE_TIMEOUT_S, TimeUnit.SECONDS);
      if (line == null) {
        throw new AssertionError("no line with '" + text + "' in time; read: " + read);
      }
      read.add(line);
    }
  }

  /** Waits for the end of the process and returns all lines that it wrote. */
  List<String> awaitEnd() throws InterruptedException {
    awaitLine(END);
    process.waitFor();
    return List.copyOf(read);
  }

  boolean isRunning() {
    return process.isAlive();
  }

  int exitCode() {
    return process.exitValue();
  }

  @Override
  public void close() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** Step of a test. */
  @FunctionalInterface
  interface Action {
    void run() throws Exception;
  }
}
