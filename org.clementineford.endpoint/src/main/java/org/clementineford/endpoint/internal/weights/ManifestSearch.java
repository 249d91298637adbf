package org.clementineford.endpoint.internal.weights;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.weights.Manifest;
import org.clementineford.weights.RendezvousHash;
import org.clementineford.wire.ManifestFetch;
import org.clementineford.wire.Payload;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Fetches the manifest of a version from peers or from the weight store and the origin. The VM that
 * ranks first for the version reads the origin at once; each further VM does so after a delay that
 * grows with its rank, if it still has no manifest.
 *
 * <p>The VMs of each region form a tree, so that each VM sends the manifest only a few times. Each
 * VM has at most one outstanding request to a peer.
 */
final class ManifestSearch {
  private static final Logger LOG = LoggerFactory.getLogger(ManifestSearch.class);
  private static final long RETRY_MS = 20;
  private static final int TREE_DEGREE = 3;
  private static final int OTHER_PEER_INTERVAL = 8;

  private final TransferServices services;
  private final String model;
  private final String version;
  private final Consumer<Manifest> onFound;
  private final long startedNanos;
  private Scheduler.Cancellable timer;
  private boolean originPending;
  private boolean peerPending;
  private boolean ended;
  private int attempts;

  ManifestSearch(
      TransferServices services, String model, String version, Consumer<Manifest> onFound) {
    this.services = services;
    this.model = model;
    this.version = version;
    this.onFound = onFound;
    this.startedNanos = services.context().nanoClock().nanoTime();
  }

  void start() {
    synchronized (this) {
      timer =
          services
              .context()
              .scheduler()
              .scheduleWithFixedDelay(this::attempt, RETRY_MS, TimeUnit.MILLISECONDS);
    }
    attempt();
  }

  synchronized void stop() {
    ended = true;
    timer.cancel();
  }

  /**
   * Requests the manifest. Sends the requests without holding the lock, because a request that
   * completes immediately calls back into the rollout.
   */
  private void attempt() {
    boolean askOrigin = false;
    HostPort peer = null;
    synchronized (this) {
      if (ended) {
        return;
      }
      List<VmIdentity> ranked = ranked();
      int rank = ranked.indexOf(services.context().self());
      long waited = services.context().nanoClock().nanoTime() - startedNanos;
      if (!originPending && waited >= rank * services.limits().takeoverDelayNanos()) {
        originPending = true;
        askOrigin = true;
      }
      if (!peerPending && ranked.size() > 1) {
        peerPending = true;
        peer = peerToAsk(ranked).address();
      }
    }
    if (askOrigin) {
      // A call or an answer that throws counts as failed, or none would be sent any more.
      CompletableFuture.completedFuture(services.source())
          .thenCompose(source -> source.manifest(model, version))
          .thenAccept(this::found)
          .exceptionally(this::originFailed);
    }
    if (peer != null) {
      askPeer(peer);
    }
  }

  private VmIdentity peerToAsk(List<VmIdentity> ranked) {
    VmIdentity self = services.context().self();
    attempts++;
    if (attempts % OTHER_PEER_INTERVAL == 0) {
      // The parent in the tree may be dead or unreachable.
      VmIdentity other = ranked.get(attempts / OTHER_PEER_INTERVAL % ranked.size());
      return other.vm().equals(self.vm()) ? ranked.get(0) : other;
    }
    List<VmIdentity> region =
        ranked.stream().filter(vm -> vm.region().equals(self.region())).toList();
    int position = region.indexOf(self);
    if (position > 0) {
      return region.get((position - 1) / TREE_DEGREE);
    }
    return ranked.get(0).vm().equals(self.vm()) ? ranked.get(1) : ranked.get(0);
  }

  private List<VmIdentity> ranked() {
    List<VmIdentity> vms = new ArrayList<>(MemberFilters.aliveEndpoints(services.context()));
    List<String> order =
        RendezvousHash.order(vms.stream().map(VmIdentity::vm).toList(), model + "/" + version);
    vms.sort(java.util.Comparator.comparingInt(vm -> order.indexOf(vm.vm())));
    return vms;
  }

  private void askPeer(HostPort address) {
    Payload request = Payload.manifestFetch(new ManifestFetch(model, version));
    CompletableFuture.completedFuture(services.context().network())
        .thenCompose(network -> network.call(address, request))
        .whenComplete(
            (reply, failure) -> {
              peerAnswered();
              if (failure == null && reply.isSetManifestBytes()) {
                found(reply.getManifestBytes().getManifest());
              }
            });
  }

  private Void originFailed(Throwable failure) {
    LOG.warn(
        "cannot read the manifest of {} {}; retrying: {}", model, version, failure.getMessage());
    retryOrigin();
    return null;
  }

  private synchronized void peerAnswered() {
    peerPending = false;
  }

  private synchronized void retryOrigin() {
    originPending = false;
  }

  private void found(byte[] json) {
    Manifest manifest;
    try {
      manifest = Manifest.parse(json);
    } catch (ClementinefordException e) {
      LOG.warn(
          "ignoring an invalid manifest of {} {}; retrying: {}", model, version, e.getMessage());
      retryOrigin();
      return;
    }
    if (!manifest.model().equals(model) || !manifest.version().equals(version)) {
      LOG.warn(
          "ignoring a manifest of {} {} instead of {} {}; retrying",
          manifest.model(),
          manifest.version(),
          model,
          version);
      retryOrigin();
      return;
    }
    synchronized (this) {
      if (ended) {
        return;
      }
      stop();
    }
    onFound.accept(manifest);
  }
}
