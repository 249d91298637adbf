package org.clementineford.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.clementineford.kernel.errors.ClementinefordException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Stops programs one after the other, and starts each again as soon as it has ended. */
final class StopSeries implements FaultKind.Heal {
  private static final Logger LOG = LoggerFactory.getLogger(StopSeries.class);

  /** Shortest and longest time between two stops, in milliseconds. */
  private static final int SHORTEST_GAP_MS = 1_000;

  private static final int LONGEST_GAP_MS = 3_000;

  private final List<Program> programs;
  private final Random random;

  StopSeries(List<Program> programs, Random random) {
    this.programs = programs;
    this.random = random;
  }

  @Override
  public void run() throws InterruptedException {
    List<Thread> threads = new ArrayList<>();
    for (Program program : programs) {
      ProgramLife stopping = program.terminate();
      Thread thread = new Thread(() -> startAgain(program, stopping), "stop " + program.vm());
      thread.start();
      threads.add(thread);
      Thread.sleep(SHORTEST_GAP_MS + random.nextInt(LONGEST_GAP_MS - SHORTEST_GAP_MS));
    }
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private static void startAgain(Program program, ProgramLife stopping) {
    try {
      stopping.awaitStop();
      program.start();
    } catch (ClementinefordException e) {
      LOG.atError().addKeyValue("vm", program.vm()).log("not started again", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
