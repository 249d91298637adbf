package org.clementineford.launcher;

import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.transport.ChannelNames;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/** Starts the process of an entry VM or of an endpoint VM, and stops it at SIGTERM. */
public final class Main {
  private Main() {}

  /**
   * Starts a process. SIGHUP has it check its settings file, SIGTERM stops it.
   *
   * @param arguments flags and the role, {@code entry} or {@code endpoint}; the build uses the role
   *     {@code load-classes} to write the class archive
   */
  public static void main(String[] arguments) {
    // Signals come first: without a handler, each of them would end the process at once.
    SettingsCheck settingsCheck = new SettingsCheck();
    Signal.handle(new Signal("HUP"), signal -> settingsCheck.request());
    ProcessLifecycle lifecycle = new ProcessLifecycle(SystemNanoClock.INSTANCE);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(lifecycle), "stop"));
    ChannelNames.useRandomNumbers();
    LogConfiguration.apply();
    Logger log = LoggerFactory.getLogger(Main.class);
    try {
      new VmStart(lifecycle, settingsCheck).run(arguments, System.getenv());
    } catch (ClementinefordException e) {
      log.error("cannot start: {}", e.getMessage());
      System.exit(e.kind().exitCode());
    } catch (RuntimeException e) {
      log.error("cannot start because of an internal error", e);
      System.exit(ErrorKind.INTERNAL.exitCode());
    }
  }

  private static void stop(ProcessLifecycle lifecycle) {
    lifecycle.stop();
    LogConfiguration.flush();
  }
}
