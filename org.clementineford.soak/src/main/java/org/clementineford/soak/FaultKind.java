package org.clementineford.soak;

import java.util.List;
import java.util.Random;
import java.util.Set;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.platform.standin.ModelServer;
import org.clementineford.platform.standin.PlainServer;
import org.clementineford.platform.standin.StoreFault;

/** Kinds of faults. Each begins at once and returns how to end it. */
enum FaultKind {
  /** An entry VM's process is stopped and started again. */
  ENTRY_STOP(true) {
    @Override
    Fault begin(SoakFleet fleet, Random random) {
      return stop(any(fleet.entries(), random));
    }
  },
  /** An endpoint VM's process is stopped and started again. */
  ENDPOINT_STOP(false) {
    @Override
    Fault begin(SoakFleet fleet, Random random) {
      return stop(any(fleet.endpoints(), random));
    }
  },
  /** A process is killed. */
  KILL(false) {
    @Override
    Fault begin(SoakFleet fleet, Random random) {
      Program program = any(fleet.programs(), random);
      program.kill();
      return new Fault(program.vm(), program::start);
    }

    @Override
    boolean breaksOff(String target, String entry, Set<String> servers) {
      return target.equals(entry);
    }
  },
  /** All processes are killed at once. */
  KILL_ALL(false) {
    @Override
    Fault begin(SoakFleet fleet, Random random) {
      fleet.programs().forEach(Program::kill);
      return new Fault(
          "all",
          () -> {
            for (Program program : fleet.programs()) {
              program.start();
            }
          });
    }

    @Override
    boolean breaksOff(String target, String entry, Set<String> servers) {
      return true;
    }
  },
  /** A process is suspended and goes on. */
  PAUSE(false) {
    @Override
    Fault begin(SoakFleet fleet, Random random) {
      Program program = any(fleet.programs(), random);
      program.pause();
      return new Fault(program.vm(), program::resume);
    }

    @Override
    boolean breaksOff(String target, String entry, Set<String> servers) {
      return target.equals(entry);
    }
  },
  /** The store misbehaves for all. */
  STORE(false) {
    @Override
    Fault begin(SoakFleet fleet, Random random) {
      StoreFault[] faults = StoreFault.values();
      StoreFault fault = faults[1 + random.nextInt(faults.length - 1)];
      fleet.store().setFault(fault);
      return new Fault(fault.name(), () -> fleet.store().setFault(StoreFault.NONE));
    }
  },
  /** The store forgets its history. */
  STORE_HISTORY(false) {
    @Override
    Fault begin(SoakFleet fleet, Random random) {
      fleet.store().discardHistory();
      return new Fault("store", () -> {});
    }
  },
  /** The link of one VM to the store misbehaves. */
  STORE_LINK(false) {
    @Override
    Fault begin(SoakFleet fleet, Random random) {
      Program program = any(fleet.programs(), random);
      return link(fleet.storeLink(program), program.vm(), random);
    }
  },
  /** The link to a server misbehaves. */
  SERVER_LINK(false) {
    @Override
    Fault begin(SoakFleet fleet, Random random) {
      int number = random.nextInt(fleet.serverLinks().size());
      String target = fleet.allServers().get(number).identity();
      return link(fleet.serverLinks().get(number), target, random);
    }

    @Override
    boolean breaksOff(String target, String entry, Set<String> servers) {
      return servers.contains(serverName(target));
    }
  },
  /** A server crashes and starts again under another identity. */
  SERVER_CRASH(false) {
    @Override
    Fault begin(SoakFleet fleet, Random random) {
      PlainServer server = any(fleet.allServers(), random);
      server.crash();
      return new Fault(server.identity(), () -> fleet.restart(server));
    }

    @Override
    boolean breaksOff(String target, String entry, Set<String> servers) {
      return servers.contains(serverName(target));
    }
  },
  /** A server runs requests and loses part of the answers. */
  ANSWERS_LOST(false) {
    @Override
    Fault begin(SoakFleet fleet, Random random) {
      PlainServer server = any(fleet.allServers(), random);
      server.setLostAnswerShare(0.2);
      return new Fault(server.identity(), () -> server.setLostAnswerShare(0));
    }

    @Override
    boolean breaksOff(String target, String entry, Set<String> servers) {
      return servers.contains(serverName(target));
    }
  },
  /** Staged weights turn bad. */
  STAGE_CORRUPT(false) {
    @Override
    Fault begin(SoakFleet fleet, Random random) {
      ModelServer engine = any(fleet.engines(), random);
      engine.corruptStagedWeights();
      return new Fault(engine.identity(), () -> {});
    }
  },
  /** The origin sends wrong bytes, or nothing. */
  ORIGIN(false) {
    @Override
    Fault begin(SoakFleet fleet, Random random) {
      if (random.nextBoolean()) {
        fleet.origin().setUnavailable(true);
        return new Fault("origin away", () -> fleet.origin().setUnavailable(false));
      }
      fleet.origin().setCorruptShare(0.1);
      return new Fault("origin corrupt", () -> fleet.origin().setCorruptShare(0));
    }
  },
  /** A version of the weights is named. */
  WEIGHTS(false) {
    @Override
    Fault begin(SoakFleet fleet, Random random) {
      fleet.nameNextVersion();
      return new Fault("version " + fleet.weightVersion(), () -> {});
    }
  },
  /** The configuration changes. */
  CONFIGURATION(false) {
    @Override
    Fault begin(SoakFleet fleet, Random random) {
      fleet.writeConfiguration();
      return new Fault("configuration", () -> {});
    }
  },
  /** The store is away and comes back from a copy; what is lost is written again. */
  STORE_RESTORED(false) {
    @Override
    Fault begin(SoakFleet fleet, Random random) {
      int changes = 1 + random.nextInt(MAX_LOST_CHANGES);
      long writtenAgainMs = random.nextInt(MAX_WRITTEN_AGAIN_MS);
      fleet.store().setFault(StoreFault.RESET);
      return new Fault(
          changes + " changes lost",
          () -> {
            fleet.store().restore(changes);
            Thread.sleep(writtenAgainMs);
            fleet.writeAgain();
          });
    }
  },
  /** All entry VMs are stopped one after the other, each before the one before it has started. */
  STOP_SERIES(true) {
    @Override
    Fault begin(SoakFleet fleet, Random random) {
      return new Fault("all entry VMs", new StopSeries(fleet.entries(), random));
    }
  },
  /** An entry VM gets further signals while it stops and while it starts again. */
  SIGNALS(true) {
    @Override
    Fault begin(SoakFleet fleet, Random random) {
      Program program = any(fleet.entries(), random);
      ProgramLife stopping = program.terminate();
      return new Fault(
          program.vm(), new RepeatedSignals(program, fleet.host(program), stopping, random));
    }
  };

  /** Largest number of changes of the store that a restoration loses. */
  private static final int MAX_LOST_CHANGES = 12;

  /** Longest time until what is lost is written again, in milliseconds. */
  private static final int MAX_WRITTEN_AGAIN_MS = 1_500;

  private final boolean planned;

  FaultKind(boolean planned) {
    this.planned = planned;
  }

  /** Tells whether it is planned work, during which no request in progress may be lost. */
  boolean isPlanned() {
    return planned;
  }

  /**
   * Tells whether a fault can by itself end a connection without a whole answer.
   *
   * @param target what the fault concerns
   * @param entry entry VM of the connection
   * @param servers names of the servers that ran the request
   */
  boolean breaksOff(String target, String entry, Set<String> servers) {
    return false;
  }

  /** Returns the name of a server, whose identities it begins. */
  static String serverName(String identity) {
    return identity.substring(0, identity.indexOf('-'));
  }

  /** Begins a fault. */
  abstract Fault begin(SoakFleet fleet, Random random) throws ClementinefordException;

  /** What ends a fault. */
  @FunctionalInterface
  interface Heal {
    void run() throws ClementinefordException, InterruptedException;
  }

  /**
   * A fault in progress.
   *
   * @param target what it concerns
   * @param heal ends it
   */
  record Fault(String target, Heal heal) {}

  private static <T> T any(List<T> choices, Random random) {
    return choices.get(random.nextInt(choices.size()));
  }

  private static Fault stop(Program program) {
    ProgramLife stopping = program.terminate();
    return new Fault(
        program.vm(),
        () -> {
          // Another fault may have started the program again meanwhile, so only the life that was
          // stopped counts.
          stopping.awaitStop();
          program.start();
        });
  }

  private static Fault link(LinkProxy link, String target, Random random) {
    LinkFault[] faults = LinkFault.values();
    LinkFault fault = faults[1 + random.nextInt(faults.length - 1)];
    link.setFault(fault);
    return new Fault(target + " " + fault, () -> link.setFault(LinkFault.NONE));
  }
}
