package org.clementineford.replica;

import java.util.List;

/**
 * Digests of the chunks of one version of a model.
 *
 * @param model name of the model
 * @param version the version
 * @param digests SHA-256 of each chunk, in lower-case hexadecimal
 */
public record WeightDigests(String model, long version, List<String> digests) {
  /** Copies the list. */
  public WeightDigests {
    digests = List.copyOf(digests);
  }
}
