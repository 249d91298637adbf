package org.clementineford.replica.internal;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.replica.EngineStatus;
import org.clementineford.replica.LocalEngine;
import org.clementineford.replica.WeightDigests;
import org.clementineford.serving.model.WeightLayout;
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
  private static final int MAX_KEPT_VERSIONS = 3;

  /** Time for entry VMs to learn that this engine takes no requests, in milliseconds. */
  private static final long DRAIN_NOTICE_MS = 120;

  /** Time after which an order without visible effect is repeated, in milliseconds. */
  private static final long ORDER_RETRY_MS = 400;

  private static final long DIGESTS_RETRY_MS = 300;

  private final TransferContext context;
  private final DigestsReader digestsReader;
  private final ChunkStaging staging;
  private final LoadOrder loadOrder;
  private final ActivationSchedule schedule;
  private final EngineDrain drain;
  private final TreeMap<Long, ChunkTransfer> transfers = new TreeMap<>();
  private final Runnable onChanging;
  private String model;
  private Optional<WeightLayout> layout = Optional.empty();
  private long target;
  private final NamedVersions named;

  private EngineStatus status = EngineStatus.UNREACHABLE;
  private List<VmIdentity> peers = List.of();
  private boolean digestsPending;
  private boolean activating;
  private boolean changing;
  private boolean stopped;
  private long orderedVersion;
  private long orderedAt;

  WeightRollout(
      TransferContext context,
      LocalEngine engine,
      ActivationSchedule schedule,
      Runnable onChanging) {
    this.context = context;
    this.digestsReader = new DigestsReader(context.weights());
    this.staging = new ChunkStaging(engine);
    this.loadOrder = new LoadOrder(engine, staging, context.clock());
    this.schedule = schedule;
    this.named = new NamedVersions(context.clock(), schedule.timeLimitNanos());
    this.drain = new EngineDrain(schedule);
    this.onChanging = onChanging;
  }

  long target() {
    return target;
  }

  String model() {
    return model;
  }

  NamedVersions named() {
    return named;
  }

  boolean isChanging() {
    return changing;
  }

  EngineStatus status() {
    return status;
  }

  /**
   * Sets the model of the engine's service, once, and the configured layout of its weights. Until a
   * version of it is named, an engine without weights gets the newest one.
   */
  void setModel(String serviceModel, Optional<WeightLayout> configuredLayout) {
    layout = configuredLayout;
    if (model == null) {
      model = serviceModel;
      proceed();
    }
  }

  /**
   * Sets the target version if the given one is newer and of this service's model. A version is
   * named by a weight target stored on the platform or by the announcement of a peer.
   *
   * @param namedModel name of the model
   * @param version the named version
   * @param learnedAt when this VM learned of it, in monotonic nanoseconds
   * @param timeKnown true if the version was named at about that time; false if it may have been
   *     named at any time before
   */
  void updateTarget(String namedModel, long version, long learnedAt, boolean timeKnown) {
    if (!namedModel.equals(model)) {
      return;
    }
    if (version <= target) {
      return;
    }
    target = version;
    named.add(version, learnedAt, timeKnown);
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

  void setPeerChunks(VmIdentity peer, long version, byte[] bitmap) {
    ChunkTransfer transfer = transfers.get(version);
    if (transfer != null && !transfer.isComplete()) {
      transfer.setPeerChunks(peer, bitmap);
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

  /**
   * Ends the transfers and begins no further step. The engine takes requests again unless an order
   * was sent to it, since it keeps running.
   */
  void stop() {
    stopped = true;
    staging.stop();
    transfers.values().forEach(ChunkTransfer::stop);
    drain.end();
    activating = isOrdering();
    if (!isOrdering() && orderedVersion <= status.weightVersion()) {
      setChanging(false);
    }
  }

  /** Returns whether an order was sent to the engine and not answered yet. */
  boolean isOrdering() {
    return loadOrder.isOrdering();
  }

  /** Starts the steps that are due. Called after each event and each status of the engine. */
  void proceed() {
    if (stopped || model == null) {
      return;
    }
    ChunkTransfer newest = transfers.isEmpty() ? null : transfers.lastEntry().getValue();
    boolean keepsNewest =
        newest != null
            && !newest.isComplete()
            && schedule.isWorthCompleting(
                newest.progress(),
                newest.elapsedNanos(),
                named.namedAt(target),
                context.clock().nanoTime());
    boolean transferNeeded =
        target > 0 ? newest == null || newest.digests().version() < target : isWithoutWeights();
    if (transferNeeded && !keepsNewest && !digestsPending) {
      readDigests();
    }
    drainIfDue(newest, keepsNewest);
    activateIfDue();
  }

  private void drainIfDue(ChunkTransfer transfer, boolean keepsSuperseded) {
    boolean needed =
        transfer != null
            && (transfer.digests().version() == target || keepsSuperseded)
            && status.weightVersion() > 0
            && status.weightVersion() < transfer.digests().version();
    if (!needed) {
      drain.end();
      return;
    }
    if (transfer.isComplete()) {
      return;
    }
    long now = context.clock().nanoTime();
    if (drain.isActive()) {
      if (drain.endIfStalled(now)) {
        setChanging(false);
      }
      return;
    }
    int engines = peers.size() + 1;
    if (!changing
        && drain.mayBegin(transfer, engines)
        && now - beginAt(transfer, isServing(now)) >= 0
        && (transfer.digests().version() == target || isWorthSwitching(transfer, now))) {
      drain.begin(transfer, now);
      setChanging(true);
    }
  }

  /** Returns whether the engine runs without weights and so needs the newest version. */
  private boolean isWithoutWeights() {
    return status != EngineStatus.UNREACHABLE && status.weightVersion() == 0;
  }

  private void readDigests() {
    HostPort origin = context.origin().get();
    if (origin == null) {
      return;
    }
    digestsPending = true;
    long wanted = target;
    // A step that throws fails the future too, or no transfer would ever begin again.
    CompletableFuture.completedFuture(wanted)
        .thenCompose(version -> digestsReader.read(origin, model, version, layout))
        .thenCompose(
            digests -> readStaged(digests).thenAccept(staged -> startTransfer(digests, staged)))
        .whenComplete(
            (done, failure) -> {
              if (failure != null) {
                LOG.atWarn()
                    .addKeyValue("version", wanted)
                    .addKeyValue("reason", failure.getMessage())
                    .log("failed to read chunk digests from the origin; retrying");
                context
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
   * Reads the digests of a transfer again, since chunks did not match, until an answer is right.
   */
  private void readDigestsAgain(ChunkTransfer transfer) {
    if (stopped || !transfers.containsValue(transfer) || transfer.isComplete()) {
      return;
    }
    HostPort origin = context.origin().get();
    CompletableFuture.completedFuture(transfer.digests().version())
        .thenCompose(
            version ->
                origin == null
                    ? CompletableFuture.failedFuture(new IllegalStateException("origin not known"))
                    : digestsReader.read(origin, model, version, layout))
        .thenAccept(transfer::correctDigests)
        .whenComplete(
            (done, failure) -> {
              if (failure != null) {
                LOG.atWarn()
                    .addKeyValue("version", transfer.digests().version())
                    .addKeyValue("reason", failure.getMessage())
                    .log("failed to read chunk digests again; retrying");
                context
                    .scheduler()
                    .schedule(
                        () -> readDigestsAgain(transfer), DIGESTS_RETRY_MS, TimeUnit.MILLISECONDS);
              }
            });
  }

  /**
   * Reads the chunks staged at the engine if they may be of the given version. After a restart of
   * the engine or of this process, the VM then needs no transfer and can serve peers that do.
   */
  private CompletableFuture<Map<Integer, byte[]>> readStaged(WeightDigests digests) {
    return status.weightVersion() != digests.version() && status.weightVersion() != 0
        ? CompletableFuture.completedFuture(Map.of())
        : staging.read(digests.model(), digests.digests().size());
  }

  private void startTransfer(WeightDigests digests, Map<Integer, byte[]> staged) {
    if (stopped) {
      return;
    }
    digestsPending = false;
    if (digests.version() > target) {
      updateTarget(digests.model(), digests.version(), context.clock().nanoTime(), false);
    }
    if (transfers.containsKey(digests.version())) {
      return;
    }
    ChunkTransfer previous = transfers.isEmpty() ? null : transfers.lastEntry().getValue();
    if (previous != null && !previous.isComplete()) {
      previous.stop();
    }
    ChunkTransfer transfer =
        new ChunkTransfer(
            context, digests, peers, previous, staged, this::proceed, this::readDigestsAgain);
    transfers.put(digests.version(), transfer);
    while (transfers.size() > MAX_KEPT_VERSIONS) {
      transfers.pollFirstEntry().getValue().stop();
    }
    proceed();
  }

  private void activateIfDue() {
    ChunkTransfer complete = newestComplete();
    if (complete == null || activating || !isLoadDue(complete, status)) {
      return;
    }
    long version = complete.digests().version();
    long now = context.clock().nanoTime();
    boolean ordered =
        orderedVersion == version
            && now - orderedAt < TimeUnit.MILLISECONDS.toNanos(ORDER_RETRY_MS);
    if (ordered) {
      return;
    }
    boolean serving = isServing(now);
    if (now - beginAt(complete, serving) < 0) {
      return;
    }
    activating = true;
    boolean alreadyDraining = drain.isActive();
    drain.end();
    if (serving && !alreadyDraining) {
      setChanging(true);
      context.scheduler().schedule(() -> stage(complete), DRAIN_NOTICE_MS, TimeUnit.MILLISECONDS);
    } else {
      stage(complete);
    }
  }

  private ChunkTransfer newestComplete() {
    for (ChunkTransfer transfer : transfers.descendingMap().values()) {
      if (transfer.isComplete()) {
        return transfer;
      }
    }
    return null;
  }

  /** Returns when the turn of the engine comes to switch to the version of a transfer. */
  private long beginAt(ChunkTransfer transfer, boolean serving) {
    long version = transfer.digests().version();
    double turn = ActivationTurn.of(context.self(), peers, model + "/" + version);
    long endsAt = transfer.endsAt(schedule, usualNanos(version));
    return schedule.beginAt(named.namedAt(version), endsAt, turn, serving);
  }

  /** Returns whether the engine has weights that are still allowed to answer. */
  private boolean isServing(long now) {
    OptionalLong next = named.namedAtAfter(status.weightVersion());
    return status.weightVersion() > 0
        && (next.isEmpty() || now - schedule.requiredAt(next.getAsLong()) < 0);
  }

  /** Returns the duration of the transfer before that of a version. */
  private long usualNanos(long version) {
    Map.Entry<Long, ChunkTransfer> before = transfers.lowerEntry(version);
    return before == null ? schedule.timeLimitNanos() : before.getValue().durationNanos();
  }

  /** Returns whether the engine should switch to a superseded version before the target. */
  private boolean isWorthSwitching(ChunkTransfer superseded, long now) {
    ChunkTransfer next = transfers.get(target);
    long nextBeginsAt =
        next == null ? now + superseded.durationNanos() : Math.max(now, beginAt(next, true));
    return schedule.isWorthSwitching(
        named.namedAt(superseded.digests().version()), nextBeginsAt, status.running() == 0, now);
  }

  /** Stages all chunks and orders the engine to load them if it still should. */
  private void stage(ChunkTransfer transfer) {
    if (stopped) {
      return;
    }
    long version = transfer.digests().version();
    long incarnation = status.incarnation();
    loadOrder
        .send(
            model,
            version,
            transfer.allChunks(),
            next -> !stopped && next.incarnation() == incarnation && isLoadDue(transfer, next))
        .whenComplete(
            (notDue, failure) -> {
              if (failure != null) {
                activationFailed(failure);
              } else if (notDue.isPresent()) {
                orderWithheld(version, notDue.get());
              } else {
                orderAccepted(version);
              }
            });
  }

  /** Returns whether the engine may be ordered to load a version, apart from its turn. */
  private boolean isLoadDue(ChunkTransfer complete, EngineStatus engineStatus) {
    long version = complete.digests().version();
    return engineStatus != EngineStatus.UNREACHABLE
        && !engineStatus.busy()
        && engineStatus.weightVersion() < version
        && (version >= target || isWorthSwitching(complete, context.clock().nanoTime()));
  }

  private void orderWithheld(long version, EngineStatus next) {
    if (stopped) {
      return;
    }
    LOG.atInfo()
        .addKeyValue("version", version)
        .addKeyValue("target", target)
        .addKeyValue("incarnation", next.incarnation())
        .addKeyValue("weights", next.weightVersion())
        .addKeyValue("busy", next.busy())
        .log("order to load weights not sent, since the engine or the target changed meanwhile");
    activating = false;
    statusChanged(next);
  }

  private void orderAccepted(long version) {
    activating = false;
    orderedVersion = version;
    orderedAt = context.clock().nanoTime();
    LOG.atInfo().addKeyValue("version", version).log("engine accepted the order to load weights");
  }

  private void activationFailed(Throwable failure) {
    if (stopped) {
      setChanging(false);
      return;
    }
    LOG.atWarn()
        .addKeyValue("reason", failure.getMessage())
        .log("failed to activate weights; retrying");
    context
        .scheduler()
        .schedule(
            () -> {
              activating = false;
              setChanging(false);
            },
            DRAIN_NOTICE_MS,
            TimeUnit.MILLISECONDS);
  }
}
