package org.clementineford.fleet;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.wire.DirectoryObject;
import org.clementineford.wire.DirectoryObjects;

/**
 * Compresses the objects of a copy. Many VMs fetch each copy from few others, so that the links of
 * these bound how soon a change reaches all.
 */
final class ObjectCompression {
  /** Largest size of decompressed objects, in bytes; that of a collected response. */
  private static final int MAX_BYTES = 8 << 20;

  private ObjectCompression() {}

  static byte[] compress(List<DirectoryObject> objects) {
    byte[] encoded = ThriftCodec.encode(new DirectoryObjects().setObjects(objects));
    ByteArrayOutputStream compressed = new ByteArrayOutputStream();
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try (DeflaterOutputStream out = new DeflaterOutputStream(compressed, deflater)) {
      out.write(encoded);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot compress in memory", e);
    } finally {
      deflater.end();
    }
    return compressed.toByteArray();
  }

  /**
   * Decompresses objects from another VM.
   *
   * @throws ClementinefordException if the bytes are no compressed objects, or hold too many
   */
  static List<DirectoryObject> decompress(byte[] compressed) throws ClementinefordException {
    byte[] encoded;
    try (InputStream in = new InflaterInputStream(new ByteArrayInputStream(compressed))) {
      encoded = in.readNBytes(MAX_BYTES + 1);
    } catch (IOException e) {
      throw new ClementinefordException(
          ErrorKind.CORRUPT_DATA, "cannot decompress a copy from another VM; dropped it", e);
    }
    if (encoded.length > MAX_BYTES) {
      throw new ClementinefordException(
          ErrorKind.CORRUPT_DATA,
          "a copy from another VM has more than " + MAX_BYTES + " bytes; dropped it");
    }
    return ThriftCodec.decode(new DirectoryObjects(), encoded).getObjects();
  }
}
