package org.clementineford.replica.internal;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.PlatformException;
import org.clementineford.replica.WeightDigests;
import org.clementineford.replica.WeightOrigin;
import org.clementineford.serving.model.WeightLayout;

/** Reads lists of digests from the origin, and rejects those that were not asked for. */
final class DigestsReader {
  private final WeightOrigin weights;

  DigestsReader(WeightOrigin weights) {
    this.weights = weights;
  }

  /**
   * Reads the digests of a version. The newest version is taken from one answer and confirmed by a
   * second one, for which it is named, since other VMs follow the version that a VM brings to its
   * engine.
   *
   * @param origin address of the origin
   * @param model name of the model
   * @param version the version; 0 for the newest
   * @param layout configured layout of the weights, if known
   * @return the list; the future fails if it cannot be that of the version
   */
  CompletableFuture<WeightDigests> read(
      HostPort origin, String model, long version, Optional<WeightLayout> layout) {
    if (version > 0) {
      return weights
          .digests(origin, model, OptionalLong.of(version))
          .thenApply(digests -> checked(digests, model, version, layout));
    }
    return weights
        .digests(origin, model, OptionalLong.empty())
        .thenApply(newest -> checked(newest, model, Math.max(1, newest.version()), layout))
        .thenCompose(
            newest ->
                read(origin, model, newest.version(), layout)
                    .thenApply(named -> confirmed(newest, named)));
  }

  private static WeightDigests confirmed(WeightDigests newest, WeightDigests named) {
    if (!newest.equals(named)) {
      throw corrupt("rejected the newest digests of " + named.model() + ": two answers differ");
    }
    return named;
  }

  private static WeightDigests checked(
      WeightDigests digests, String model, long version, Optional<WeightLayout> layout) {
    Optional<String> mismatch = digests.findMismatch(model, version, layout);
    if (mismatch.isPresent()) {
      throw corrupt("rejected the digests of " + model + "/" + version + ": " + mismatch.get());
    }
    return digests;
  }

  private static CompletionException corrupt(String message) {
    return new CompletionException(new PlatformException(ErrorKind.CORRUPT_DATA, message));
  }
}
