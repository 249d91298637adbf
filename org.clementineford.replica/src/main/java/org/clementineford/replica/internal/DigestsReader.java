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
   * Reads the digests of a version.
   *
   * @param origin address of the origin
   * @param model name of the model
   * @param version the version; 0 for the newest
   * @param layout configured layout of the weights, if known
   * @return the list; the future fails if it cannot be that of the version
   */
  CompletableFuture<WeightDigests> read(
      HostPort origin, String model, long version, Optional<WeightLayout> layout) {
    OptionalLong wanted = version > 0 ? OptionalLong.of(version) : OptionalLong.empty();
    return weights
        .digests(origin, model, wanted)
        .thenApply(digests -> checked(digests, model, wanted.orElse(digests.version()), layout));
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
