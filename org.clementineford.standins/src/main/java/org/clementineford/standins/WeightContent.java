package org.clementineford.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Weights that are generated from a seed, so that any range can be generated without storing the
 * rest. The same seed, model, version and generation give the same bytes.
 */
public final class WeightContent {
  private static final int BLOCK_BYTES = 1 << 16;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final String model;
  private final String version;
  private final long length;
  private final int chunkLength;
  private final long contentSeed;
  private final Manifest manifest;

  /**
   * Creates the content and computes its digests.
   *
   * @param seed seed of the origin
   * @param model name of the model
   * @param version name of the version
   * @param generation incremented when the content is replaced under the same name
   * @param length length in bytes
   * @param chunkLength length of each chunk except the last, in bytes
   */
  public WeightContent(
      long seed, String model, String version, int generation, long length, int chunkLength) {
    this.model = model;
    this.version = version;
    this.length = length;
    this.chunkLength = chunkLength;
    this.contentSeed = seed + 31L * (model + "\0" + version + "\0" + generation).hashCode();
    this.manifest = computeManifest();
  }

  private Manifest computeManifest() {
    MessageDigest complete = sha256();
    List<String> chunks = new ArrayList<>();
    for (long offset = 0; offset < length; offset += chunkLength) {
      byte[] chunk = read(offset, (int) Math.min(chunkLength, length - offset));
      complete.update(chunk);
      chunks.add(HexFormat.of().formatHex(sha256().digest(chunk)));
    }
    return new Manifest(
        model, version, length, chunkLength, chunks, HexFormat.of().formatHex(complete.digest()));
  }

  /**
   * Returns the bytes of a range.
   *
   * @param offset first byte
   * @param count number of bytes; offset and count must lie within the length
   * @return the bytes
   */
  public byte[] read(long offset, int count) {
    byte[] range = new byte[count];
    int done = 0;
    while (done < count) {
      long position = offset + done;
      byte[] block = block(position / BLOCK_BYTES);
      int from = (int) (position % BLOCK_BYTES);
      int part = Math.min(count - done, BLOCK_BYTES - from);
      System.arraycopy(block, from, range, done, part);
      done += part;
    }
    return range;
  }

  private byte[] block(long index) {
    SplittableRandom random = new SplittableRandom(contentSeed * 0x9E3779B97F4A7C15L + index);
    ByteBuffer block = ByteBuffer.allocate(BLOCK_BYTES).order(ByteOrder.LITTLE_ENDIAN);
    while (block.hasRemaining()) {
      block.putLong(random.nextLong());
    }
    return block.array();
  }

  /**
   * Returns the manifest with the digests.
   *
   * @return the manifest
   */
  public Manifest manifest() {
    return manifest;
  }

  /**
   * Returns the manifest as the origin publishes it.
   *
   * @return JSON in UTF-8
   */
  public byte[] manifestJson() {
    try {
      return JSON.writeValueAsBytes(manifest);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /**
   * Manifest of a model version.
   *
   * @param model name of the model
   * @param version name of the version
   * @param length length in bytes
   * @param chunkLength length of each chunk except the last, in bytes
   * @param chunkDigests SHA-256 of each chunk, lower-case hexadecimal
   * @param digest SHA-256 of all bytes, lower-case hexadecimal
   */
  public record Manifest(
      String model,
      String version,
      long length,
      int chunkLength,
      List<String> chunkDigests,
      String digest) {}
}
