package org.clementineford.configuration.lease;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.clementineford.configuration.errors.DocumentException;
import org.clementineford.kernel.errors.ErrorKind;

/**
 * Stored value of a lease.
 *
 * @param holder VM and incarnation of the holder, or null after it released the lease
 * @param fencingNumber number of acquisitions so far
 * @param attempt identifier of the write, by which a writer that lost the reply recognizes it
 */
record LeaseValue(String holder, long fencingNumber, String attempt) {
  private static final ObjectMapper JSON = new ObjectMapper();

  static LeaseValue parse(byte[] json) throws DocumentException {
    try {
      return JSON.readValue(json, LeaseValue.class);
    } catch (IOException e) {
      throw new DocumentException(
          ErrorKind.CORRUPT_DATA,
          "the lease object is not valid JSON; delete it so that a new lease can be created");
    }
  }

  byte[] toJson() {
    try {
      return JSON.writeValueAsBytes(this);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("failed to serialize the lease as JSON", e);
    }
  }
}
