package org.clementineford.endpoint.internal.weights;

import java.net.URI;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.clementineford.endpoint.BackEndSettings;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.SettingException;
import org.clementineford.kernel.platform.ModelEngine;
import org.clementineford.kernel.platform.WeightSource;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;
import org.clementineford.kernel.settings.Settings;
import org.clementineford.node.NodeComponent;
import org.clementineford.node.NodeComponentFactory;
import org.clementineford.node.NodeContext;
import org.clementineford.platform.HttpModelEngine;
import org.clementineford.platform.HttpWeightSource;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.weights.TransferLimits;

/** Creates the weights component of an endpoint VM. */
public final class WeightsComponentFactory implements NodeComponentFactory {
  private static final Setting<URI> ORIGIN =
      new Setting<>("origin", "URL of the origin of weights.", null, SettingParser.url());
  private static final Setting<Optional<URI>> WEIGHT_STORE =
      new Setting<>(
          "weight-store",
          "URL of the weight store, which is read before the origin; empty for none.",
          "",
          WeightsComponentFactory::optionalUrl);
  private static final Setting<Long> WEIGHTS_MEMORY_MIB =
      new Setting<>(
          "weights-area-mib",
          "Memory for weights outside the heap, in MiB; allow the JVM as much direct memory.",
          "1024",
          SettingParser.wholeNumber(1, 1L << 24));
  private static final Setting<HostPort> COPY_ADDRESS =
      new Setting<>(
          "weights-address",
          "Loopback address from which engines load weights.",
          "127.0.0.1:0",
          SettingParser.hostPort());
  private static final Setting<Long> UPLOAD_SLOTS =
      new Setting<>(
          "upload-slots",
          "Maximum concurrent uploads of chunks to peers of the region.",
          String.valueOf(TransferLimits.DEFAULT.uploadSlots()),
          SettingParser.wholeNumber(1, 64));

  private static final Setting<Long> REGION_LINK_KIB =
      new Setting<>(
          "region-link-kib",
          "Bandwidth of a link between two regions in KiB/s; 0 if unknown.",
          "0",
          SettingParser.wholeNumber(0, 1L << 32));

  private static Optional<URI> optionalUrl(String text) throws SettingException {
    return text.isBlank() ? Optional.empty() : Optional.of(SettingParser.url().parse(text));
  }

  @Override
  public String name() {
    return "weights";
  }

  @Override
  public VmRole role() {
    return VmRole.ENDPOINT;
  }

  @Override
  public int order() {
    return 10;
  }

  @Override
  public List<Setting<?>> settings() {
    return List.of(
        ORIGIN,
        WEIGHT_STORE,
        WEIGHTS_MEMORY_MIB,
        COPY_ADDRESS,
        UPLOAD_SLOTS,
        REGION_LINK_KIB,
        BackEndSettings.ENGINES);
  }

  @Override
  public NodeComponent create(NodeContext context, Settings settings) {
    HttpClient client = context.httpClient();
    Map<String, List<ModelEngine>> engines = new HashMap<>();
    settings
        .get(BackEndSettings.ENGINES)
        .forEach((model, addresses) -> engines.put(model, engines(client, addresses)));
    WeightSources sources =
        new WeightSources(
            settings.get(WEIGHT_STORE).map(url -> source(client, url)),
            source(client, settings.get(ORIGIN)));
    WeightsArea area =
        new WeightsArea(settings.get(WEIGHTS_MEMORY_MIB) << 20, settings.get(COPY_ADDRESS));
    ExecutorService verifier =
        Executors.newSingleThreadExecutor(
            task -> {
              Thread thread = new Thread(task, "weights-verifier");
              thread.setDaemon(true);
              return thread;
            });
    TransferLimits limits =
        TransferLimits.DEFAULT.with(
            settings.get(UPLOAD_SLOTS).intValue(), settings.get(REGION_LINK_KIB) << 10);
    return new WeightsComponent(context, sources, engines, limits, area, verifier);
  }

  private static List<ModelEngine> engines(HttpClient client, List<HostPort> addresses) {
    return addresses.stream()
        .map(address -> (ModelEngine) new HttpModelEngine(client, address))
        .toList();
  }

  private static WeightSource source(HttpClient client, URI url) {
    return new HttpWeightSource(client, new HostPort(url.getHost(), url.getPort()));
  }
}
