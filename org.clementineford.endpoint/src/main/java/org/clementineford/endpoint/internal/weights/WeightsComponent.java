package org.clementineford.endpoint.internal.weights;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.clementineford.configuration.ConfigurationSnapshot;
import org.clementineford.configuration.ModelSpecification;
import org.clementineford.endpoint.ServedVersions;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.SettingException;
import org.clementineford.kernel.platform.ModelEngine;
import org.clementineford.node.NodeComponent;
import org.clementineford.node.NodeContext;
import org.clementineford.node.StatusContributor;
import org.clementineford.transport.IncomingExchange;
import org.clementineford.transport.Payloads;
import org.clementineford.weights.ChunkStore;
import org.clementineford.weights.FencingGuard;
import org.clementineford.weights.TransferLimits;
import org.clementineford.wire.Acknowledgement;
import org.clementineford.wire.ChunkMap;
import org.clementineford.wire.ModelStatus;
import org.clementineford.wire.Payload;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Component that transfers the target model versions to this VM and activates them. */
public final class WeightsComponent implements NodeComponent, StatusContributor {
  private static final Logger LOG = LoggerFactory.getLogger(WeightsComponent.class);

  private final NodeContext context;
  private final TransferServices services;
  private final Map<String, List<ModelEngine>> engines;
  private final HostPort copyAddress;
  private final PublishedVersions published = new PublishedVersions();
  private final Map<String, ModelRollout> rollouts = new TreeMap<>();
  private CopyServer copies;

  /**
   * Creates the component; registers {@link ServedVersions} and {@link StatusContributor} as shared
   * services.
   *
   * @param context services shared by the components of the process
   * @param sources sources of chunks that no peer holds
   * @param engines engines of this VM by model name
   * @param limits limits of the transfers
   * @param area memory limit for weights and the address from which engines load them
   * @param verifier executor that computes digests, to keep them off the event loops
   */
  public WeightsComponent(
      NodeContext context,
      WeightSources sources,
      Map<String, List<ModelEngine>> engines,
      TransferLimits limits,
      WeightsArea area,
      Executor verifier) {
    this.context = context;
    this.services =
        new TransferServices(
            context,
            new ChunkStore(area.maxBytes()),
            new FallbackWeightSource(sources.store(), sources.origin()),
            verifier,
            limits,
            new WeightsMetrics(context.metrics()));
    this.engines = Map.copyOf(engines);
    this.copyAddress = area.copyAddress();
    context.sharedServices().register(ServedVersions.class, published);
    context.sharedServices().register(StatusContributor.class, this);
  }

  @Override
  public void start() throws ClementinefordException {
    copies = new CopyServer(services.store(), context.eventLoops(), copyAddress);
    UploadHandler uploads = new UploadHandler(services);
    engines.forEach(
        (model, modelEngines) ->
            rollouts.put(
                model,
                new ModelRollout(
                    model,
                    services,
                    uploads,
                    copies,
                    new Activation(modelEngines, published, context.timeline()),
                    published)));
    OrderHandler orders = new OrderHandler(new FencingGuard(), rollouts, context.timeline());
    context.payloads().register(Payload._Fields.CHUNK_MAP, this::mapOpened);
    context.payloads().register(Payload._Fields.CHUNK_FETCH, uploads::sendChunk);
    context.payloads().register(Payload._Fields.MANIFEST_FETCH, uploads::sendManifest);
    context.payloads().register(Payload._Fields.ACTIVATE_ORDER, orders::activate);
    context.payloads().register(Payload._Fields.ORIGIN_PERMIT, orders::permit);
    context.membership().onChange(members -> membersChanged());
    context.configuration().onChange(this::applyConfiguration);
    applyConfiguration(context.configuration().current());
  }

  private void applyConfiguration(ConfigurationSnapshot configuration) {
    for (Map.Entry<String, ModelRollout> entry : rollouts.entrySet()) {
      ModelSpecification target = configuration.models().get(entry.getKey());
      if (target != null) {
        entry.getValue().applySpecification(target);
      }
    }
  }

  private void membersChanged() {
    List<VmIdentity> alive = MemberFilters.aliveEndpoints(context);
    rollouts.values().forEach(rollout -> rollout.membersChanged(alive));
  }

  private void mapOpened(Payload opening, IncomingExchange exchange) {
    exchange.onPayload(payload -> mapReceived(payload, false));
    if (!mapReceived(opening, true)) {
      // The peer waits for the maps of others before it reads the origin.
      exchange.send(Payload.acknowledgement(new Acknowledgement()));
    }
  }

  /** Processes a chunk map; returns whether its sender is sent the one of this VM. */
  private boolean mapReceived(Payload payload, boolean opening) {
    if (!payload.isSetChunkMap()) {
      return false;
    }
    ChunkMap map = payload.getChunkMap();
    ModelRollout rollout = rollouts.get(map.getModel());
    if (rollout == null) {
      return false;
    }
    try {
      VmIdentity sender = Payloads.fromWire(map.getSender());
      return rollout.mapReceived(sender, map, opening);
    } catch (SettingException e) {
      LOG.warn("ignoring a chunk map with an invalid sender: {}", e.getMessage());
      return false;
    }
  }

  @Override
  public List<ModelStatus> modelStatuses() {
    List<ModelStatus> statuses = new ArrayList<>();
    rollouts.values().forEach(rollout -> statuses.add(rollout.status()));
    return statuses;
  }

  @Override
  public CompletableFuture<Void> drain(long endNanos) {
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public void close() {
    rollouts.values().forEach(ModelRollout::close);
    if (copies != null) {
      copies.close();
    }
  }
}
