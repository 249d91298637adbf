package org.clementineford.fleet;

import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;

/** Encodes and decodes single Thrift structures in the compact protocol. */
public final class ThriftCodec {
  private ThriftCodec() {}

  /**
   * Encodes a structure.
   *
   * @param message structure to encode
   * @return the encoded bytes
   */
  public static byte[] encode(TBase<?, ?> message) {
    try {
      return new TSerializer(new TCompactProtocol.Factory()).serialize(message);
    } catch (TException e) {
      throw new IllegalStateException("cannot encode a Thrift structure", e);
    }
  }

  /**
   * Decodes a structure.
   *
   * @param message empty structure to fill
   * @param bytes encoded structure from another process
   * @param <T> type of the structure
   * @return {@code message}
   * @throws ClementinefordException if the bytes are not a valid encoding of the structure
   */
  public static <T extends TBase<?, ?>> T decode(T message, byte[] bytes)
      throws ClementinefordException {
    try {
      // Without the limits, memory would be allocated for what a message claims to hold.
      new TDeserializer(new TCompactProtocol.Factory(bytes.length, bytes.length))
          .deserialize(message, bytes);
      return message;
    } catch (TException e) {
      throw new ClementinefordException(
          ErrorKind.CORRUPT_DATA, "cannot decode a message from another VM; dropped it", e);
    }
  }
}
