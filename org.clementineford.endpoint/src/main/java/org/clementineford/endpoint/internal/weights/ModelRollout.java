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
  private static final long LOAD_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final String model;
  private final TransferTools tools;
  private final ChunkUploads uploads;
  private final CopyServer copies;
  private final Activation activation;
  private final PublishedVersions published;
  private final EngineWatch engineWatch;
  private ModelSpecification wanted;
  private ManifestSearch search;
  private VersionTransfer transfer;
  private Manifest served;
  private Scheduler.Cancellable fallback;
  private CompletableFuture<Void> loading;
  private OrderNumber lastOrder = OrderNumber.NONE;

  ModelRollout(
      String model,
      TransferTools tools,
      ChunkUploads uploads,
      CopyServer copies,
      Activation activation,
      PublishedVersions published) {
    this.model = model;
    this.tools = tools;
    this.uploads = uploads;
    this.copies = copies;
    this.activation = activation;
    this.published = published;
    this.engineWatch = new EngineWatch(activation.engines(), this::reload);
    engineWatch.start(tools.context().scheduler());
  }

  /** Applies the configuration document: starts, replaces or keeps the transfer. */
  synchronized void follow(ModelSpecification specification) {
    boolean sameVersion = wanted != null && wanted.version().equals(specification.version());
    final boolean resumed = wanted != null && wanted.paused() && !specification.paused();
    wanted = specification;
    if (!sameVersion) {
      dropTransfer();
    }
    if (specification.paused()) {
      cancelFallback();
      return;
    }
    if (search == null && transfer == null) {
      String version = specification.version();
      search = new ManifestSearch(tools, model, version, manifest -> begin(manifest));
      search.start();
    } else if (resumed && transfer != null && transfer.isWhole()) {
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
        tools.store().pin(served);
      } else {
        uploads.withdraw(transfer.address());
        copies.withdraw(transfer.address());
      }
      transfer = null;
    }
  }

  private synchronized void begin(Manifest manifest) {
    if (wanted == null || !wanted.version().equals(manifest.version()) || transfer != null) {
      return;
    }
    transfer = new VersionTransfer(tools, manifest, wanted.policy(), this::becameWhole);
    uploads.offer(manifest);
    transfer.start();
  }

  private synchronized void becameWhole(VersionTransfer whole) {
    if (whole != transfer) {
      return;
    }
    if (!isServing(whole)) {
      scheduleFallback(whole);
    }
  }

  private void scheduleFallback(VersionTransfer whole) {
    cancelFallback();
    if (wanted.paused() || isServing(whole)) {
      return;
    }
    List<String> vms =
        Endpoints.alive(tools.context()).stream()
            .filter(vm -> vm.dataCentre().equals(tools.context().self().dataCentre()))
            .map(VmIdentity::vm)
            .toList();
    ConfigurationSnapshot configuration = tools.context().configuration().current();
    long delay =
        ActivationPacing.fallbackDelay(
            tools.context().self().vm(),
            model + "/" + whole.manifest().version(),
            vms,
            configuration.policies().activationShare(),
            LOAD_NANOS);
    fallback =
        tools
            .context()
            .scheduler()
            .schedule(() -> activateAlone(whole), delay, TimeUnit.NANOSECONDS);
  }

  private void cancelFallback() {
    if (fallback != null) {
      fallback.cancel();
      fallback = null;
    }
  }

  private synchronized void activateAlone(VersionTransfer whole) {
    if (whole == transfer && !wanted.paused()) {
      long revision = tools.context().configuration().current().revision();
      activate(whole.manifest().version(), whole.address(), new OrderNumber(revision, 0));
    }
  }

  /**
   * Activates a version that an order names.
   *
   * @param version version in the order
   * @param address address of the manifest in the order
   * @param number number of the order
   * @return a future that completes when the version is served, or fails with {@code
   *     ClementinefordException}
   */
  synchronized CompletableFuture<Void> activate(
      String version, String address, OrderNumber number) {
    if (transfer == null || !transfer.address().equals(address) || wanted.paused()) {
      return refused("not-wanted", version);
    }
    if (!transfer.isWhole()) {
      return refused("not-whole", version);
    }
    if (isServing(transfer)) {
      return CompletableFuture.completedFuture(null);
    }
    if (loading != null && !loading.isDone()) {
      return loading;
    }
    cancelFallback();
    engineWatch.expect(null);
    lastOrder = number;
    VersionTransfer whole = transfer;
    loading =
        activation
            .activate(whole.manifest(), copies.offer(whole.manifest()), number)
            .whenComplete((done, failure) -> loaded(whole, failure));
    return loading;
  }

  private CompletableFuture<Void> refused(String key, String version) {
    return CompletableFuture.failedFuture(
        new PlatformException(ErrorKind.CONFLICT, MESSAGES.format(key, model, version)));
  }

  private synchronized void loaded(VersionTransfer whole, Throwable failure) {
    if (failure != null) {
      engineWatch.expect(served == null ? null : served.digest());
      if (whole == transfer) {
        scheduleFallback(whole);
      }
      return;
    }
    Manifest previous = served;
    served = whole.manifest();
    engineWatch.expect(served.digest());
    if (previous != null && !previous.address().equals(served.address())) {
      tools.store().unpin(previous.address());
      uploads.withdraw(previous.address());
      copies.withdraw(previous.address());
    }
  }

  private synchronized void reload() {
    if (served != null && (loading == null || loading.isDone())) {
      loading = activation.activate(served, copies.offer(served), lastOrder);
    }
  }

  private boolean isServing(VersionTransfer whole) {
    Optional<ServedVersion> current = published.current(model);
    return current.isPresent()
        && current.get().version().equals(whole.manifest().version())
        && current.get().digest().equals(whole.manifest().digest());
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
   */
  void mapReceived(VmIdentity sender, ChunkMap map, boolean opening) {
    VersionTransfer current;
    synchronized (this) {
      current = transfer;
    }
    if (current != null && current.address().equals(map.getManifestDigest())) {
      current.mapReceived(sender, map.getBitmap(), opening);
    }
  }

  /**
   * Permits this VM to read chunks from the origin that are assigned to other VMs.
   *
   * @return false if this VM has no transfer of the manifest
   */
  synchronized boolean permit(String address, List<Integer> chunks) {
    boolean known = transfer != null && transfer.address().equals(address);
    if (known) {
      transfer.permit(chunks);
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
    if (wanted != null) {
      status.setTargetVersion(wanted.version());
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
    engineWatch.stop();
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
