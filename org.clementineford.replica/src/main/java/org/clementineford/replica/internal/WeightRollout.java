package org.clementineford.replica.internal;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.replica.EngineStatus;
import org.clementineford.replica.LocalEngine;
import org.clementineford.replica.WeightDigests;
import org.clementineford.weights.RendezvousHash;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings the target version to the engine on this VM: transfers the chunks, stages them and orders
 * the engine to load them. An engine that restarted without weights gets its version again. Not
 * thread-safe.
 */
final class WeightRollout {
  private static final Logger LOG = LoggerFactory.getLogger(WeightRollout.class);

  /** Number of versions kept for peers that still fetch them. */
  private static final int KEPT_VERSIONS = 3;

  /** Time for entry VMs to learn that this engine takes no requests, in milliseconds. */
  private static final long NOTICE_MS = 120;

  /** Time after which an order without visible effect is repeated, in milliseconds. */
  private static final long ORDER_RETRY_MS = 400;

  private static final long DIGESTS_RETRY_MS = 300;

  private final ReplicaTools tools;
  private final LocalEngine engine;
  private final EngineStage stage;
  private final ActivationSchedule schedule;
  private final EngineDrain drain;
  private final TreeMap<Long, ChunkTransfer> transfers = new TreeMap<>();
  private final Runnable onChanging;
  private String model;
  private long target;
  private long targetAt;
  private boolean targetWitnessed;
  private EngineStatus status = EngineStatus.UNREACHABLE;
  private List<VmIdentity> peers = List.of();
  private boolean digestsPending;
  private boolean activating;
  private boolean changing;
  private long orderedVersion;
  private long orderedAt;

  WeightRollout(
      ReplicaTools tools, LocalEngine engine, ActivationSchedule schedule, Runnable onChanging) {
    this.tools = tools;
    this.engine = engine;
    this.stage = new EngineStage(engine);
    this.schedule = schedule;
    this.drain = new EngineDrain(schedule);
    this.onChanging = onChanging;
  }

  long target() {
    return target;
  }

  String model() {
    return model;
  }

  /**
   * Returns the time since the target version was named, in milliseconds; -1 if that time is not
   * known because the version was named before this process first read the targets.
   */
  int targetAgeMs() {
    if (!targetWitnessed) {
      return -1;
    }
    return (int)
        Math.min(
            Integer.MAX_VALUE, TimeUnit.NANOSECONDS.toMillis(tools.clock().nanoTime() - targetAt));
  }

  boolean isChanging() {
    return changing;
  }

  EngineStatus status() {
    return status;
  }

  /** Sets the model of the engine's service; its newest version is used until one is named. */
  void setModel(String serviceModel) {
    if (model == null) {
      model = serviceModel;
      proceed();
    }
  }

  /**
   * Makes a named version the target, if it is newer than the target and not of a model of another
   * service.
   *
   * @param namedModel name of the model
   * @param version the named version
   * @param namedAt when this VM learned of the version, in monotonic nanoseconds
   * @param witnessed true if the version was named at about that time; false if it may have been
   *     named at any time before
   */
  void named(String namedModel, long version, long namedAt, boolean witnessed) {
    if (!namedModel.equals(model)) {
      return;
    }
    if (version <= target) {
      return;
    }
    target = version;
    targetWitnessed = witnessed;
    // A version that was named at an unknown time is due immediately.
    targetAt = witnessed ? namedAt : namedAt - schedule.boundNanos();
    LOG.atInfo()
        .addKeyValue("model", namedModel)
        .addKeyValue("version", version)
        .log("version of weights named");
    proceed();
  }

  void setPeers(Collection<VmIdentity> listed) {
    peers = List.copyOf(listed);
    transfers.values().forEach(transfer -> transfer.setPeers(peers));
  }

  void peerHolds(VmIdentity peer, long version, byte[] bitmap) {
    ChunkTransfer transfer = transfers.get(version);
    if (transfer != null && !transfer.isWhole()) {
      transfer.peerHolds(peer, bitmap);
    }
  }

  /** Returns the transfers whose chunks are served to peers, oldest version first. */
  Collection<ChunkTransfer> transfers() {
    return transfers.values();
  }

  byte[] chunk(String wantedModel, long version, int number) {
    ChunkTransfer transfer = transfers.get(version);
    return transfer == null || !wantedModel.equals(model) ? null : transfer.chunk(number);
  }

  void statusChanged(EngineStatus next) {
    boolean restarted = next.incarnation() != status.incarnation();
    if (restarted || next.weightVersion() != status.weightVersion()) {
      LOG.atInfo()
          .addKeyValue("incarnation", next.incarnation())
          .addKeyValue("weights", next.weightVersion())
          .log("engine state changed");
    }
    if (restarted) {
      orderedVersion = 0;
    }
    status = next;
    if (changing
        && !activating
        && !drain.isActive()
        && status.weightVersion() >= orderedVersion
        && !status.busy()) {
      setChanging(false);
    }
    proceed();
  }

  private void setChanging(boolean next) {
    if (changing != next) {
      changing = next;
      onChanging.run();
    }
  }

  /** Starts the steps that are due. Called after each event and each status of the engine. */
  void proceed() {
    if (model == null) {
      return;
    }
    ChunkTransfer newest = transfers.isEmpty() ? null : transfers.lastEntry().getValue();
    boolean completing =
        newest != null
            && !newest.isWhole()
            && schedule.isWorthCompleting(
                newest.progress(), newest.elapsedNanos(), targetAt, tools.clock().nanoTime());
    boolean missing =
        target > 0 ? newest == null || newest.digests().version() < target : isEmpty();
    if (missing && !completing && !digestsPending) {
      readDigests();
    }
    drainIfDue(newest);
    activateIfDue();
  }

  private void drainIfDue(ChunkTransfer transfer) {
    boolean serving = status.weightVersion() > 0 && status.weightVersion() < target;
    if (transfer == null || transfer.digests().version() != target || !serving) {
      drain.end();
      return;
    }
    if (transfer.isWhole()) {
      return;
    }
    long now = tools.clock().nanoTime();
    if (drain.isActive()) {
      if (drain.endIfStalled(now)) {
        setChanging(false);
      }
      return;
    }
    int engines = peers.size() + 1;
    if (!changing
        && drain.mayBegin(transfer, engines)
        && now - schedule.beginAt(targetAt, rank(target), engines, true) >= 0) {
      drain.begin(transfer, now);
      setChanging(true);
    }
  }

  /** Returns whether the engine runs without weights and so needs the newest version. */
  private boolean isEmpty() {
    return status != EngineStatus.UNREACHABLE && status.weightVersion() == 0;
  }

  private void readDigests() {
    var origin = tools.origin().get();
    if (origin == null) {
      return;
    }
    digestsPending = true;
    long wanted = target;
    tools
        .weights()
        .digests(origin, model, wanted == 0 ? OptionalLong.empty() : OptionalLong.of(wanted))
        .whenComplete(
            (digests, failure) -> {
              if (failure == null) {
                readStaged(digests);
              } else {
                LOG.atWarn()
                    .addKeyValue("version", wanted)
                    .addKeyValue("reason", failure.getMessage())
                    .log("failed to read chunk digests from the origin; retrying");
                tools
                    .scheduler()
                    .schedule(
                        () -> {
                          digestsPending = false;
                          proceed();
                        },
                        DIGESTS_RETRY_MS,
                        TimeUnit.MILLISECONDS);
              }
            });
  }

  /**
   * Reads the chunks staged at the engine if they may be of the given version. After a restart of
   * the engine or of this process, the VM then needs no transfer and can serve peers that do.
   */
  private void readStaged(WeightDigests digests) {
    if (status.weightVersion() != digests.version() && status.weightVersion() != 0) {
      begin(digests, Map.of());
    } else {
      stage.read(digests.model(), digests.digests().size(), staged -> begin(digests, staged));
    }
  }

  private void begin(WeightDigests digests, Map<Integer, byte[]> staged) {
    digestsPending = false;
    if (digests.version() > target) {
      named(digests.model(), digests.version(), tools.clock().nanoTime(), false);
    }
    if (transfers.containsKey(digests.version())) {
      return;
    }
    ChunkTransfer previous = transfers.isEmpty() ? null : transfers.lastEntry().getValue();
    if (previous != null && !previous.isWhole()) {
      previous.stop();
    }
    ChunkTransfer transfer =
        new ChunkTransfer(tools, digests, peers, previous, staged, this::proceed);
    transfers.put(digests.version(), transfer);
    while (transfers.size() > KEPT_VERSIONS) {
      transfers.pollFirstEntry().getValue().stop();
    }
    proceed();
  }

  private void activateIfDue() {
    ChunkTransfer whole = newestWhole();
    if (whole == null || activating || status.busy() || status == EngineStatus.UNREACHABLE) {
      return;
    }
    long version = whole.digests().version();
    long now = tools.clock().nanoTime();
    boolean ordered =
        orderedVersion == version
            && now - orderedAt < TimeUnit.MILLISECONDS.toNanos(ORDER_RETRY_MS);
    if (status.weightVersion() >= version || ordered) {
      return;
    }
    if (version < target && !schedule.isWorthCompleting(1, 0, targetAt, now)) {
      return;
    }
    boolean serving = status.weightVersion() > 0;
    long beginAt = schedule.beginAt(targetAt, rank(version), peers.size() + 1, serving);
    if (now - beginAt < 0 && version == target) {
      return;
    }
    activating = true;
    boolean announced = drain.isActive();
    drain.end();
    if (serving && !announced) {
      setChanging(true);
      tools.scheduler().schedule(() -> stage(whole), NOTICE_MS, TimeUnit.MILLISECONDS);
    } else {
      stage(whole);
    }
  }

  private ChunkTransfer newestWhole() {
    for (ChunkTransfer transfer : transfers.descendingMap().values()) {
      if (transfer.isWhole()) {
        return transfer;
      }
    }
    return null;
  }

  private int rank(long version) {
    long seed = RendezvousHash.seed(model + "/" + version);
    long own = RendezvousHash.weight(RendezvousHash.seed(tools.self().vm()), seed);
    int rank = 0;
    for (VmIdentity peer : peers) {
      if (RendezvousHash.weight(RendezvousHash.seed(peer.vm()), seed) > own) {
        rank++;
      }
    }
    return rank;
  }

  /**
   * Stages all chunks right before the order, since staged bytes may become corrupt over time and
   * the engine does not verify them.
   */
  private void stage(ChunkTransfer transfer) {
    stage
        .write(model, transfer.all())
        .whenComplete(
            (done, failure) -> {
              if (failure == null) {
                order(transfer);
              } else {
                activationFailed("staging", failure);
              }
            });
  }

  private void order(ChunkTransfer transfer) {
    long version = transfer.digests().version();
    engine
        .load(model, version)
        .whenComplete(
            (done, failure) -> {
              if (failure != null) {
                activationFailed("order", failure);
                return;
              }
              activating = false;
              orderedVersion = version;
              orderedAt = tools.clock().nanoTime();
              LOG.atInfo()
                  .addKeyValue("version", version)
                  .log("engine accepted the order to load weights");
            });
  }

  private void activationFailed(String step, Throwable failure) {
    LOG.atWarn()
        .addKeyValue("step", step)
        .addKeyValue("reason", failure.getMessage())
        .log("failed to activate weights; retrying");
    tools
        .scheduler()
        .schedule(
            () -> {
              activating = false;
              setChanging(false);
            },
            NOTICE_MS,
            TimeUnit.MILLISECONDS);
  }
}
