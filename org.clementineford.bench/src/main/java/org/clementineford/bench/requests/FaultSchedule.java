package org.clementineford.bench.requests;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.standins.EngineStandIn;
import org.clementineford.standins.StandInFaultKind;
import org.clementineford.standins.StandInFaults.Fault;

/** Injects a fault into a site every few hundred milliseconds, chosen by a seeded generator. */
final class FaultSchedule {
  private static final long BETWEEN_FAULTS_MS = 400;
  private static final long DOWN_MS = 200;

  private final Site site;
  private final RandomGenerator random;
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final Map<String, Integer> injected = new TreeMap<>();
  private final Thread thread = new Thread(this::run, "faults");
  private volatile Exception failure;

  FaultSchedule(Site site, RandomGenerator random) {
    this.site = site;
    this.random = random;
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  /** Stops the schedule and returns the number of injections of each fault. */
  Map<String, Integer> stop() throws Exception {
    stopped.countDown();
    thread.join();
    if (failure != null) {
      throw failure;
    }
    return injected;
  }

  private boolean pause(long milliseconds) throws InterruptedException {
    return !stopped.await(milliseconds, TimeUnit.MILLISECONDS);
  }

  private void run() {
    try {
      while (pause(BETWEEN_FAULTS_MS)) {
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        injected.merge(kind.name(), 1, Integer::sum);
        kind.inject(this);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ClementinefordException e) {
      failure = e;
    }
  }

  private int anyEndpoint() {
    return random.nextInt(site.endpointCount());
  }

  private int anyEntry() {
    return random.nextInt(site.entryCount());
  }

  private EngineStandIn anyEngine() {
    return site.engine(anyEndpoint());
  }

  private enum Kind {
    KILL_ENDPOINT {
      @Override
      void inject(FaultSchedule schedule) throws ClementinefordException, InterruptedException {
        int index = schedule.anyEndpoint();
        schedule.site.endpoint(index).close();
        schedule.pause(DOWN_MS);
        schedule.site.restartEndpoint(index);
      }
    },
    KILL_ENTRY {
      @Override
      void inject(FaultSchedule schedule) throws ClementinefordException, InterruptedException {
        int index = schedule.anyEntry();
        schedule.site.entry(index).close();
        schedule.pause(DOWN_MS);
        schedule.site.restartEntry(index);
      }
    },
    FREEZE_ENDPOINT {
      @Override
      void inject(FaultSchedule schedule) {
        int index = schedule.anyEndpoint();
        schedule.site.endpoint(index).freeze(schedule.random.nextLong(500, 5000));
      }
    },
    FREEZE_ENTRY {
      @Override
      void inject(FaultSchedule schedule) {
        int index = schedule.anyEntry();
        schedule.site.entry(index).freeze(schedule.random.nextLong(500, 5000));
      }
    },
    CUT_ENDPOINT {
      @Override
      void inject(FaultSchedule schedule) {
        schedule.site.endpoint(schedule.anyEndpoint()).closeConnections();
      }
    },
    CUT_ENTRY {
      @Override
      void inject(FaultSchedule schedule) {
        schedule.site.entry(schedule.anyEntry()).closeConnections();
      }
    },
    LOSE_SERVICE_REPLIES {
      @Override
      void inject(FaultSchedule schedule) {
        schedule.site.service().faults().setNext(StandInFaultKind.LOST_REPLY, 3);
      }
    },
    HANG_SERVICE {
      @Override
      void inject(FaultSchedule schedule) {
        schedule.site.service().faults().setNext(StandInFaultKind.HANG, 2);
      }
    },
    SLOW_SERVICE {
      @Override
      void inject(FaultSchedule schedule) {
        schedule.site.service().faults().set(new Fault(StandInFaultKind.SLOWNESS, 1, 20, 800));
      }
    },
    BREAK_ENGINE_STREAMS {
      @Override
      void inject(FaultSchedule schedule) {
        schedule.anyEngine().faults().setNext(StandInFaultKind.BROKEN_STREAM, 3);
      }
    },
    CROSS_ENGINE_ANSWERS {
      @Override
      void inject(FaultSchedule schedule) {
        schedule.anyEngine().faults().setNext(StandInFaultKind.WRONG_REQUEST_ID, 3);
      }
    },
    HANG_ENGINE {
      @Override
      void inject(FaultSchedule schedule) {
        schedule.anyEngine().faults().setNext(StandInFaultKind.HANG, 2);
      }
    },
    ENGINE_OUTAGE {
      @Override
      void inject(FaultSchedule schedule) throws InterruptedException {
        EngineStandIn engine = schedule.anyEngine();
        engine.faults().set(StandInFaultKind.OUTAGE);
        schedule.pause(schedule.random.nextLong(100, 1000));
        engine.faults().clear(StandInFaultKind.OUTAGE);
      }
    },
    LOSE_CLAIM_REPLIES {
      @Override
      void inject(FaultSchedule schedule) {
        schedule.site.objectApi().faults().setNext(StandInFaultKind.LOST_REPLY, 5);
      }
    },
    STALE_READS {
      @Override
      void inject(FaultSchedule schedule) {
        schedule.site.objectApi().faults().setNext(StandInFaultKind.STALE_READ, 5);
      }
    },
    PLATFORM_OUTAGE {
      @Override
      void inject(FaultSchedule schedule) throws InterruptedException {
        schedule.site.objectApi().startOutage();
        schedule.pause(schedule.random.nextLong(100, 1000));
        schedule.site.objectApi().endOutage();
      }
    };

    abstract void inject(FaultSchedule schedule)
        throws ClementinefordException, InterruptedException;
  }
}
