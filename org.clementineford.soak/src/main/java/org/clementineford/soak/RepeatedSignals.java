package org.clementineford.soak;

import java.io.IOException;
import java.net.Socket;
import java.util.Random;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.platform.standin.PlatformFiles;

/** Signals to a program while it stops, and to its next life while that starts. */
final class RepeatedSignals implements FaultKind.Heal {
  private static final int MOST_SIGNALS = 3;

  /** Longest time until the next signal of a stop, in milliseconds. */
  private static final int LONGEST_GAP_MS = 1_500;

  /** Longest time from the first listening socket to a signal, in milliseconds. */
  private static final int LONGEST_START_MS = 100;

  private static final long LISTEN_POLL_MS = 2;

  private final Program program;
  private final String host;
  private final ProgramLife stopping;
  private final Random random;

  RepeatedSignals(Program program, String host, ProgramLife stopping, Random random) {
    this.program = program;
    this.host = host;
    this.stopping = stopping;
    this.random = random;
  }

  @Override
  public void run() throws ClementinefordException, InterruptedException {
    for (int i = random.nextInt(MOST_SIGNALS); i >= 0; i--) {
      if (random.nextBoolean()) {
        stopping.terminate();
      } else {
        stopping.hangUp();
      }
      Thread.sleep(random.nextInt(LONGEST_GAP_MS));
    }
    stopping.awaitStop();
    ProgramLife starting = program.start();
    awaitListening(starting);
    Thread.sleep(random.nextInt(LONGEST_START_MS));
    if (random.nextBoolean()) {
      starting.hangUp();
    } else {
      starting.terminate();
      starting.awaitStop();
      program.start();
    }
  }

  /** Returns once the program listens, or has ended. */
  private void awaitListening(ProgramLife starting) throws InterruptedException {
    while (starting.isRunning() && !isListening()) {
      Thread.sleep(LISTEN_POLL_MS);
    }
  }

  private boolean isListening() {
    try (Socket socket = new Socket(host, PlatformFiles.READY_PORT)) {
      return socket.isConnected();
    } catch (IOException e) {
      return false;
    }
  }
}
