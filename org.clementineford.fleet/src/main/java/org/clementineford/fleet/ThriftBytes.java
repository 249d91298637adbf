package org.clementineford.fleet;

import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;

/** Encodes and decodes single Thrift structures. */
public final class ThriftBytes {
  private ThriftBytes() {}

  /**
   * Encodes a structure.
   *
   * @param message the structure
   * @return its bytes
   */
  public static byte[] encode(TBase<?, ?> message) {
    try {
      return new TSerializer(new TCompactProtocol.Factory()).serialize(message);
    } catch (TException e) {
      throw new IllegalStateException("a message of this process cannot be encoded", e);
    }
  }

  /**
   * Decodes a structure.
   *
   * @param message empty structure to fill
   * @param bytes bytes of another process
   * @param <T> type of the structure
   * @return the structure given
   * @throws ClementinefordException if the bytes are not such a structure
   */
  public static <T extends TBase<?, ?>> T decode(T message, byte[] bytes)
      throws ClementinefordException {
    try {
      new TDeserializer(new TCompactProtocol.Factory()).deserialize(message, bytes);
      return message;
    } catch (TException e) {
      throw new ClementinefordException(
          ErrorKind.CORRUPT_DATA, "a message of another VM cannot be decoded; it was dropped", e);
    }
  }
}
