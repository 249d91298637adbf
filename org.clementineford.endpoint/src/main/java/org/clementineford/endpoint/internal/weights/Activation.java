package org.clementineford.endpoint.internal.weights;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.clementineford.endpoint.ServedVersions.ServedVersion;
import org.clementineford.kernel.MessageCatalog;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.PlatformException;
import org.clementineford.kernel.platform.ModelEngine;
import org.clementineford.kernel.timeline.EventKind;
import org.clementineford.kernel.timeline.Timeline;
import org.clementineford.weights.Manifest;
import org.clementineford.weights.OrderNumber;

/**
 * Activates versions of one model: orders its engines to load a complete copy, then publishes the
 * version.
 */
final class Activation {
  private static final MessageCatalog MESSAGES = MessageCatalog.of(Activation.class);

  private final List<ModelEngine> engines;
  private final PublishedVersions published;
  private final Timeline timeline;

  Activation(List<ModelEngine> engines, PublishedVersions published, Timeline timeline) {
    this.engines = List.copyOf(engines);
    this.published = published;
    this.timeline = timeline;
  }

  List<ModelEngine> engines() {
    return engines;
  }

  /**
   * Loads a version into the engines and publishes it.
   *
   * @param manifest manifest of the version, of which the VM holds a complete copy
   * @param url URL from which the engines read the copy
   * @param number number of the order that requested the activation
   * @return a future that completes after the version is published, or fails with {@code
   *     PlatformException}
   */
  CompletableFuture<Void> activate(Manifest manifest, String url, OrderNumber number) {
    ModelEngine.LoadOrder order =
        new ModelEngine.LoadOrder(
            manifest.model(),
            manifest.version(),
            manifest.digest(),
            manifest.length(),
            url,
            number.combined());
    timeline.record(
        EventKind.LOAD_ORDERED,
        "model",
        manifest.model(),
        "version",
        manifest.version(),
        "number",
        String.valueOf(number.combined()));
    CompletableFuture<?>[] loads =
        engines.stream()
            .map(
                engine ->
                    // A load that throws fails the future, after which another one is due.
                    CompletableFuture.completedFuture(order)
                        .thenCompose(engine::load)
                        .thenCompose(loaded -> check(manifest, loaded)))
            .toArray(CompletableFuture[]::new);
    return CompletableFuture.allOf(loads)
        .thenRun(() -> publish(manifest))
        .whenComplete((done, failure) -> recordFailure(manifest, failure));
  }

  private static CompletableFuture<Void> check(
      Manifest manifest, ModelEngine.LoadedVersion loaded) {
    if (manifest.digest().equals(loaded.digest()) && manifest.version().equals(loaded.version())) {
      return CompletableFuture.completedFuture(null);
    }
    return CompletableFuture.failedFuture(
        new PlatformException(
            ErrorKind.CORRUPT_DATA,
            MESSAGES.format(
                "other-digest",
                loaded.version(),
                loaded.digest(),
                manifest.version(),
                manifest.digest())));
  }

  private void publish(Manifest manifest) {
    published.publish(new ServedVersion(manifest.model(), manifest.version(), manifest.digest()));
    timeline.record(
        EventKind.VERSION_ACTIVATED,
        "model",
        manifest.model(),
        "version",
        manifest.version(),
        "digest",
        manifest.digest());
  }

  private void recordFailure(Manifest manifest, Throwable failure) {
    if (failure != null) {
      timeline.record(
          EventKind.ACTIVATION_FAILED,
          "model",
          manifest.model(),
          "version",
          manifest.version(),
          "reason",
          String.valueOf(failure.getMessage()));
    }
  }
}
