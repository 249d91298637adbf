package review;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Random;

/** Weights of a model: the bytes of each piece and their digests, by version. */
final class Weights {
  static final String MODEL = "daka510000";
  static final int CHUNKS = 96;
  static final int CHUNK_BYTES = 24_576;

  private Weights() {}

  static byte[] piece(long version, int chunk) {
    byte[] bytes = new byte[CHUNK_BYTES];
    new Random(version * 1_000 + chunk).nextBytes(bytes);
    return bytes;
  }

  static String digest(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  static String manifest(long version) {
    StringBuilder text =
        new StringBuilder("{\"model\":\"" + MODEL + "\",\"version\":" + version)
            .append(",\"chunk_bytes\":" + CHUNK_BYTES + ",\"layers\":16,\"digests\":[");
    for (int chunk = 0; chunk < CHUNKS; chunk++) {
      text.append(chunk == 0 ? "\"" : ",\"").append(digest(piece(version, chunk))).append('"');
    }
    return text.append("]}").toString();
  }
}
