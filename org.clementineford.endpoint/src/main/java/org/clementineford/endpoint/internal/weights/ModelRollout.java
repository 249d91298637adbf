package org.clementineford.endpoint.internal.weights;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.configuration.ConfigurationSnapshot;
import org.clementineford.configuration.ModelSpecification;
import org.clementineford.endpoint.ServedVersions.ServedVersion;
import org.clementineford.kernel.MessageCatalog;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.PlatformException;
import org.clementineford.weights.ActivationPacing;
import org.clementineford.weights.Manifest;
import org.clementineford.weights.OrderNumber;
import org.clementineford.wire.ChunkMap;
import org.clementineford.wire.ModelStatus;

/** Transfers the target version of one model to this VM and activates it in the engines. */
final class ModelRollout {
  private static final MessageCatalog MESSAGES = MessageCatalog.of(ModelRollout.class);

  /** Assumed duration of one load; spaces the activations of VMs that receive no order. */
  private static final long ASSUMED_LOAD_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final String model;
  private final TransferServices services;
  private final UploadHandler uploads;
  private final CopyServer copies;
  private final Activation activation;
  private final PublishedVersions published;
  private final EngineMonitor engineMonitor;
  private ModelSpecification target;
  private ManifestSearch search;
  private VersionTransfer transfer;
  private Manifest served;
  private Scheduler.Cancellable fallbackTimer;
  private CompletableFuture<Void> loading;
  private OrderNumber lastOrder = OrderNumber.NONE;

  ModelRollout(
      String model,
      TransferServices services,
      UploadHandler uploads,
      CopyServer copies,
      Activation activation,
      PublishedVersions published) {
    this.model = model;
    this.services = services;
    this.uploads = uploads;
    this.copies = copies;
    this.activation = activation;
    this.published = published;
    this.engineMonitor = new EngineMonitor(activation.engines(), this::reload);
    engineMonitor.start(services.context().scheduler());
  }

  /** Applies a specification of the configuration: starts, replaces or keeps the transfer. */
  synchronized void applySpecification(ModelSpecification specification) {
    boolean sameVersion = target != null && target.version().equals(specification.version());
    final boolean resumed = target != null && target.paused() && !specification.paused();
    target = specification;
    if (!sameVersion) {
      dropTransfer();
    }
    if (specification.paused()) {
      cancelFallback();
      return;
    }
    if (search == null && transfer == null) {
      String version = specification.version();
      search = new ManifestSearch(services, model, version, manifest -> startTransfer(manifest));
      search.start();
    } else if (resumed && transfer != null && transfer.isComplete()) {
      scheduleFallback(transfer);
    }
  }

  private void dropTransfer() {
    cancelFallback();
    if (search != null) {
      search.stop();
      search = null;
    }
    if (transfer != null) {
      transfer.stop();
      boolean stillServed = served != null && served.address().equals(transfer.address());
      if (stillServed) {
        services.store().pin(served);
      } else {
        uploads.withdraw(transfer.address());
        copies.withdraw(transfer.address());
      }
      transfer = null;
    }
  }

  private synchronized void startTransfer(Manifest manifest) {
    if (target == null || !target.version().equals(manifest.version()) || transfer != null) {
      return;
    }
    transfer = new VersionTransfer(services, manifest, target.policy(), this::transferCompleted);
    uploads.offer(manifest);
    transfer.start();
  }

  private synchronized void transferCompleted(VersionTransfer completed) {
    if (completed != transfer) {
      return;
    }
    if (!isServing(completed)) {
      scheduleFallback(completed);
    }
  }

  private void scheduleFallback(VersionTransfer completed) {
    cancelFallback();
    if (target.paused() || isServing(completed)) {
      return;
    }
    List<String> vms =
        MemberFilters.aliveEndpoints(services.context()).stream()
            .filter(vm -> vm.dataCentre().equals(services.context().self().dataCentre()))
            .map(VmIdentity::vm)
            .toList();
    ConfigurationSnapshot configuration = services.context().configuration().current();
    long delay =
        ActivationPacing.fallbackDelay(
            services.context().self().vm(),
            model + "/" + completed.manifest().version(),
            vms,
            configuration.policies().activationShare(),
            ASSUMED_LOAD_NANOS);
    fallbackTimer =
        services
            .context()
            .scheduler()
            .schedule(() -> activateWithoutOrder(completed), delay, TimeUnit.NANOSECONDS);
  }

  private void cancelFallback() {
    if (fallbackTimer != null) {
      fallbackTimer.cancel();
      fallbackTimer = null;
    }
  }

  private synchronized void activateWithoutOrder(VersionTransfer completed) {
    if (completed == transfer && !target.paused()) {
      long revision = services.context().configuration().current().revision();
      activate(completed.manifest().version(), completed.address(), new OrderNumber(revision, 0));
    }
  }

  /**
   * Activates a version, by order of the rollout controller or on the decision of this VM.
   *
   * @param version version to activate
   * @param address address of its manifest
   * @param number number of the order; its lease number is 0 if there was no order
   * @return a future that completes when the version is served, or fails with {@code
   *     ClementinefordException}
   */
  synchronized CompletableFuture<Void> activate(
      String version, String address, OrderNumber number) {
    if (transfer == null || !transfer.address().equals(address) || target.paused()) {
      return refused("not-wanted", version);
    }
    if (!transfer.isComplete()) {
      return refused("not-whole", version);
    }
    if (isServing(transfer)) {
      return CompletableFuture.completedFuture(null);
    }
    if (loading != null && !loading.isDone()) {
      return loading;
    }
    cancelFallback();
    engineMonitor.setExpectedDigest(null);
    lastOrder = number;
    VersionTransfer completed = transfer;
    loading =
        activation
            .activate(completed.manifest(), copies.offer(completed.manifest()), number)
            .whenComplete((done, failure) -> loadFinished(completed, failure));
    return loading;
  }

  private CompletableFuture<Void> refused(String key, String version) {
    return CompletableFuture.failedFuture(
        new PlatformException(ErrorKind.CONFLICT, MESSAGES.format(key, model, version)));
  }

  private synchronized void loadFinished(VersionTransfer completed, Throwable failure) {
    if (failure != null) {
      engineMonitor.setExpectedDigest(served == null ? null : served.digest());
      if (completed == transfer) {
        scheduleFallback(completed);
      }
      return;
    }
    Manifest previous = served;
    served = completed.manifest();
    engineMonitor.setExpectedDigest(served.digest());
    if (previous != null && !previous.address().equals(served.address())) {
      services.store().unpin(previous.address());
      uploads.withdraw(previous.address());
      copies.withdraw(previous.address());
    }
  }

  private synchronized void reload() {
    if (served != null && (loading == null || loading.isDone())) {
      loading = activation.activate(served, copies.offer(served), lastOrder);
    }
  }

  private boolean isServing(VersionTransfer completed) {
    Optional<ServedVersion> current = published.current(model);
    return current.isPresent()
        && current.get().version().equals(completed.manifest().version())
        && current.get().digest().equals(completed.manifest().digest());
  }

  synchronized void membersChanged(List<VmIdentity> alive) {
    if (transfer != null) {
      transfer.membersChanged(alive);
    }
  }

  /**
   * Processes a chunk map of a peer.
   *
   * @param opening whether the map opened the exchange; the peer may then have no map of this VM
   * @return true if the peer is sent the map of this VM
   */
  boolean mapReceived(VmIdentity sender, ChunkMap map, boolean opening) {
    VersionTransfer current;
    synchronized (this) {
      current = transfer;
    }
    return current != null
        && current.address().equals(map.getManifestDigest())
        && current.mapReceived(sender, map.getBitmap(), opening);
  }

  /**
   * Permits this VM to read chunks from the origin that are assigned to other VMs.
   *
   * @return false if this VM has no transfer of the manifest
   */
  synchronized boolean permitOriginReads(String address, List<Integer> chunks) {
    boolean known = transfer != null && transfer.address().equals(address);
    if (known) {
      transfer.permitOriginReads(chunks);
    }
    return known;
  }

  synchronized ModelStatus status() {
    ModelStatus status = new ModelStatus();
    status.setModel(model);
    published
        .current(model)
        .ifPresent(
            current -> {
              status.setServingVersion(current.version());
              status.setServingDigest(current.digest());
            });
    if (target != null) {
      status.setTargetVersion(target.version());
    }
    if (transfer != null) {
      status.setChunksHeld(transfer.chunksHeld());
      status.setChunksTotal(transfer.manifest().chunks());
      status.setBytesFromOrigin(transfer.counts().fromOrigin());
      status.setBytesFromPeers(transfer.counts().fromPeers());
      status.setBytesRefetched(transfer.counts().refetched());
    }
    return status;
  }

  synchronized void close() {
    engineMonitor.stop();
    dropTransfer();
  }

  /**
   * Returns the error message that a caller of {@link #activate} should report.
   *
   * @param failure failure of the future, possibly wrapped in another exception
   * @return message that includes the remedy
   */
  static String reason(Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    return cause instanceof ClementinefordException ? cause.getMessage() : failure.toString();
  }
}
