package org.clementineford.entry.internal.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.configuration.ConfigurationSnapshot;
import org.clementineford.configuration.ModelSpecification;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.SettingException;
import org.clementineford.kernel.timeline.EventKind;
import org.clementineford.node.MembershipView;
import org.clementineford.node.NodeComponent;
import org.clementineford.node.NodeContext;
import org.clementineford.transport.IncomingExchange;
import org.clementineford.transport.Payloads;
import org.clementineford.wire.ActivateOrder;
import org.clementineford.wire.ChunkMap;
import org.clementineford.wire.Payload;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Orders the endpoint VMs of this data centre to activate model versions, a limited share of the
 * VMs at a time, while this process holds the lease. Every entry VM receives the chunk maps of the
 * endpoints, so a new lease holder already has a record of the complete copies.
 */
final class RolloutController implements NodeComponent {
  private static final Logger LOG = LoggerFactory.getLogger(RolloutController.class);
  private static final long INTERVAL_MS = 100;
  private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final NodeContext context;
  private final Map<String, ModelProgress> progress = new HashMap<>();
  private Scheduler.Cancellable timer;
  private boolean draining;

  RolloutController(NodeContext context) {
    this.context = context;
  }

  @Override
  public void start() {
    context.payloads().register(Payload._Fields.CHUNK_MAP, this::chunkMapsOpened);
    timer =
        context
            .scheduler()
            .scheduleWithFixedDelay(this::sendOrders, INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void chunkMapsOpened(Payload opening, IncomingExchange exchange) {
    exchange.onPayload(this::chunkMapReceived);
    chunkMapReceived(opening);
  }

  private void chunkMapReceived(Payload payload) {
    if (!payload.isSetChunkMap() || !payload.getChunkMap().isWhole()) {
      return;
    }
    ChunkMap map = payload.getChunkMap();
    try {
      VmIdentity sender = Payloads.fromWire(map.getSender());
      synchronized (this) {
        ModelProgress model = progressOf(map.getModel());
        if (model != null && model.version().equals(map.getVersion())) {
          model.addCompleteCopy(sender, map.getManifestDigest());
        }
      }
      sendOrders();
    } catch (SettingException e) {
      LOG.warn("ignoring a chunk map with an invalid sender: {}", e.getMessage());
    }
  }

  private ModelProgress progressOf(String model) {
    ModelSpecification specification = context.configuration().current().models().get(model);
    if (specification == null) {
      return null;
    }
    ModelProgress existing = progress.get(model);
    if (existing == null || !existing.version().equals(specification.version())) {
      existing = new ModelProgress(model, specification.version());
      progress.put(model, existing);
    }
    return existing;
  }

  private void sendOrders() {
    ConfigurationSnapshot configuration = context.configuration().current();
    for (ModelSpecification specification : configuration.models().values()) {
      if (!specification.paused()) {
        chooseCopies(specification, configuration)
            .forEach(copy -> sendOrder(copy, specification, configuration));
      }
    }
  }

  private synchronized List<ModelProgress.Copy> chooseCopies(
      ModelSpecification specification, ConfigurationSnapshot configuration) {
    if (draining || context.lease().fencingNumber().isEmpty()) {
      return List.of();
    }
    return progressOf(specification.name())
        .chooseNext(
            endpoints(),
            configuration.policies().activationShare(),
            context.nanoClock().nanoTime());
  }

  private List<VmIdentity> endpoints() {
    List<VmIdentity> endpoints = new ArrayList<>();
    for (MembershipView.Member member : context.membership().members()) {
      VmIdentity vm = member.identity();
      if (vm.role() == VmRole.ENDPOINT
          && vm.dataCentre().equals(context.self().dataCentre())
          && member.phase() == MembershipView.Phase.ALIVE) {
        endpoints.add(vm);
      }
    }
    return endpoints;
  }

  private void sendOrder(
      ModelProgress.Copy copy,
      ModelSpecification specification,
      ConfigurationSnapshot configuration) {
    OptionalLong fencingNumber = context.lease().fencingNumber();
    if (fencingNumber.isEmpty()) {
      recordOutcome(copy, specification, false);
      return;
    }
    ActivateOrder order =
        new ActivateOrder(
            specification.name(),
            specification.version(),
            copy.manifestAddress(),
            configuration.revision(),
            fencingNumber.getAsLong(),
            context.self().vm());
    context
        .timeline()
        .record(
            EventKind.ORDER_SENT,
            "model",
            specification.name(),
            "version",
            specification.version(),
            "endpoint",
            copy.vm().vm());
    context
        .network()
        .call(copy.vm().address(), Payload.activateOrder(order))
        .whenComplete((reply, failure) -> orderAnswered(copy, specification, reply, failure));
  }

  private void orderAnswered(
      ModelProgress.Copy copy, ModelSpecification specification, Payload reply, Throwable failure) {
    boolean accepted =
        failure == null && reply.isSetOrderReply() && reply.getOrderReply().isAccepted();
    if (!accepted) {
      LOG.warn(
          "endpoint {} did not activate model {} version {}; retrying after 1 s or later: {}",
          copy.vm().vm(),
          specification.name(),
          specification.version(),
          failure != null ? failure.getMessage() : reply);
    }
    recordOutcome(copy, specification, accepted);
    if (accepted) {
      sendOrders();
    }
  }

  private synchronized void recordOutcome(
      ModelProgress.Copy copy, ModelSpecification specification, boolean accepted) {
    ModelProgress model = progress.get(specification.name());
    if (model == null || !model.version().equals(specification.version())) {
      return;
    }
    if (accepted) {
      model.activated(copy.vm());
    } else {
      model.activationFailed(copy.vm(), context.nanoClock().nanoTime() + RETRY_NANOS);
    }
  }

  @Override
  public CompletableFuture<Void> drain(long endNanos) {
    close();
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public void close() {
    synchronized (this) {
      draining = true;
    }
    if (timer != null) {
      timer.cancel();
    }
  }
}
