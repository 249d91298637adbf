package org.clementineford.weights;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.clementineford.kernel.MessageCatalog;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;

/**
 * Description of one version of a model's weights, published by the origin as JSON.
 *
 * @param model name of the model
 * @param version name of the version
 * @param digest SHA-256 of the complete weights, lower-case hexadecimal
 * @param length length of the weights in bytes
 * @param chunkLength length of each chunk except the last, in bytes
 * @param chunkDigests SHA-256 of each chunk, lower-case hexadecimal
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record Manifest(
    String model,
    String version,
    String digest,
    long length,
    int chunkLength,
    List<String> chunkDigests) {
  private static final MessageCatalog MESSAGES = MessageCatalog.of(Manifest.class);
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int DIGEST_DIGITS = 64;

  /** Copies the list. */
  public Manifest {
    chunkDigests = chunkDigests == null ? List.of() : List.copyOf(chunkDigests);
  }

  /**
   * Parses and validates a manifest.
   *
   * @param json JSON text as published
   * @return the manifest
   * @throws ClementinefordException of kind {@code CORRUPT_DATA} if the manifest is invalid
   */
  public static Manifest parse(byte[] json) throws ClementinefordException {
    Manifest manifest;
    try {
      manifest = JSON.readValue(json, Manifest.class);
    } catch (IOException e) {
      throw new ClementinefordException(
          ErrorKind.CORRUPT_DATA, MESSAGES.format("manifest-not-json"), e);
    }
    if (manifest == null) {
      throw new ClementinefordException(
          ErrorKind.CORRUPT_DATA, MESSAGES.format("manifest-not-json"));
    }
    manifest.validate();
    return manifest;
  }

  /**
   * Creates the manifest of weights that are in memory.
   *
   * @param model name of the model
   * @param version name of the version
   * @param weights the complete weights
   * @param chunkLength length of a chunk in bytes
   * @return the manifest
   */
  public static Manifest describe(String model, String version, byte[] weights, int chunkLength) {
    List<String> digests = new ArrayList<>();
    for (int offset = 0; offset < weights.length; offset += chunkLength) {
      int end = Math.min(weights.length, offset + chunkLength);
      digests.add(Digests.sha256Hex(java.util.Arrays.copyOfRange(weights, offset, end)));
    }
    return new Manifest(
        model, version, Digests.sha256Hex(weights), weights.length, chunkLength, digests);
  }

  private void validate() throws ClementinefordException {
    boolean valid =
        model != null
            && version != null
            && isDigest(digest)
            && length > 0
            && chunkLength > 0
            && chunkDigests.size() == (length + chunkLength - 1) / chunkLength
            && chunkDigests.stream().allMatch(Manifest::isDigest);
    if (!valid) {
      throw new ClementinefordException(
          ErrorKind.CORRUPT_DATA, MESSAGES.format("manifest-incomplete", model, version));
    }
  }

  private static boolean isDigest(String text) {
    return text != null && text.length() == DIGEST_DIGITS;
  }

  /**
   * Serializes the manifest as JSON.
   *
   * @return JSON text in UTF-8
   */
  public byte[] toJson() {
    try {
      return JSON.writeValueAsBytes(this);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize a manifest as JSON", e);
    }
  }

  /**
   * Returns the content address, under which peers exchange the chunks. It is the digest of {@link
   * #toJson()} and so covers all fields of the manifest.
   *
   * @return SHA-256 in lower-case hexadecimal
   */
  public String address() {
    return Digests.sha256Hex(toJson());
  }

  /**
   * Returns the number of chunks.
   *
   * @return at least 1
   */
  public int chunks() {
    return chunkDigests.size();
  }

  /**
   * Returns the offset of a chunk in the weights.
   *
   * @param chunk number of the chunk, from 0
   * @return offset in bytes
   */
  public long offset(int chunk) {
    return (long) chunk * chunkLength;
  }

  /**
   * Returns the length of a chunk.
   *
   * @param chunk number of the chunk, from 0
   * @return length in bytes; only the last chunk may be shorter than the others
   */
  public int chunkLength(int chunk) {
    return (int) Math.min(chunkLength, length - offset(chunk));
  }
}
