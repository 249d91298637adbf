package org.clementineford.soak;

import java.io.IOException;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;

/** One life of a program, from the start of its process to its end. Thread-safe. */
final class ProgramLife {
  private final Process process;
  private final long logOffset;
  private final NanoClock clock;
  private OptionalLong stoppedAt = OptionalLong.empty();
  private boolean killed;

  /**
   * Creates a life that begins now.
   *
   * @param process the process, which was just started
   * @param logOffset length of the log before, in bytes
   * @param clock monotonic clock
   */
  ProgramLife(Process process, long logOffset, NanoClock clock) {
    this.process = process;
    this.logOffset = logOffset;
    this.clock = clock;
  }

  /** Returns where the lines of this life begin in the log, in bytes. */
  long logOffset() {
    return logOffset;
  }

  boolean isRunning() {
    return process.isAlive();
  }

  /** Returns when SIGTERM was first sent, in monotonic nanoseconds. */
  synchronized OptionalLong stoppedAt() {
    return stoppedAt;
  }

  /** Tells whether it ended after SIGTERM, and without SIGKILL. */
  synchronized boolean hasStoppedAsPlanned() {
    return !process.isAlive() && stoppedAt.isPresent() && !killed;
  }

  /** Tells whether it ended without a signal that ends processes. */
  synchronized boolean hasEndedByItself() {
    return !process.isAlive() && stoppedAt.isEmpty() && !killed;
  }

  int exitCode() {
    return process.exitValue();
  }

  /** Sends SIGTERM, be it the first or not. */
  synchronized void terminate() {
    if (process.isAlive()) {
      if (stoppedAt.isEmpty()) {
        stoppedAt = OptionalLong.of(clock.nanoTime());
      }
      process.destroy();
    }
  }

  synchronized void kill() {
    if (process.isAlive()) {
      killed = true;
      process.destroyForcibly();
    }
  }

  /** Tells the process that its settings may have changed, which it must survive. */
  void hangUp() {
    signal("-HUP");
  }

  /** Sends a signal that does not end the process. */
  synchronized void signal(String signal) {
    if (!process.isAlive()) {
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

  /** Waits for the end after SIGTERM; kills the process once its stop time is over. */
  void awaitStop() throws InterruptedException {
    OptionalLong since = stoppedAt();
    if (since.isPresent()) {
      long killAt = since.getAsLong() + TimeUnit.MILLISECONDS.toNanos(SoakFleet.STOP_MS);
      if (!process.waitFor(killAt - clock.nanoTime(), TimeUnit.NANOSECONDS)) {
        kill();
        process.waitFor();
      }
    }
  }
}
