package org.clementineford.replica;

import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.clementineford.serving.model.WeightLayout;

/**
 * Digests of the chunks of one version of a model, as the origin sent them.
 *
 * @param model name of the model
 * @param version the version
 * @param chunkBytes length of each chunk, in bytes
 * @param digests SHA-256 of each chunk, in lower-case hexadecimal
 */
public record WeightDigests(String model, long version, int chunkBytes, List<String> digests) {
  private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");

  /** Copies the list. */
  public WeightDigests {
    digests = List.copyOf(digests);
  }

  /**
   * Returns why this cannot be the list of a version. What the origin sends may be corrupt and
   * still have the right form, so all that is known of the version is compared.
   *
   * @param wantedModel name of the model that was asked for
   * @param wantedVersion version that was asked for
   * @param layout configured layout of the model's weights, if known
   * @return the first difference; empty if there is none
   */
  public Optional<String> findMismatch(
      String wantedModel, long wantedVersion, Optional<WeightLayout> layout) {
    if (!model.equals(wantedModel) || version != wantedVersion) {
      return Optional.of("it is of " + model + "/" + version);
    }
    if (layout.isPresent() && !layout.get().equals(new WeightLayout(digests.size(), chunkBytes))) {
      return Optional.of("it has " + digests.size() + " chunks of " + chunkBytes + " bytes");
    }
    if (digests.isEmpty()) {
      return Optional.of("it has no chunks");
    }
    return digests.stream()
        .filter(digest -> !SHA_256.matcher(digest).matches())
        .findFirst()
        .map(digest -> "a digest is not a SHA-256: " + digest);
  }
}
