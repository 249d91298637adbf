package org.clementineford.configuration.lease;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.clementineford.configuration.errors.DocumentException;
import org.clementineford.kernel.errors.ErrorKind;

/**
 * Stored form of a lease.
 *
 * @param holder VM and incarnation of the holder, or null after it gave the lease back
 * @param fencingNumber number of acquisitions so far
 * @param attempt identity of the write, so that a writer that lost the reply recognises it
 */
record LeaseValue(String holder, long fencingNumber, String attempt) {
  private static final ObjectMapper JSON = new ObjectMapper();

  static LeaseValue parse(byte[] json) throws DocumentException {
    try {
      return JSON.readValue(json, LeaseValue.class);
    } catch (IOException e) {
      throw new DocumentException(
          ErrorKind.CORRUPT_DATA, "the lease object is damaged; delete it to start again");
    }
  }

  byte[] toJson() {
    try {
      return JSON.writeValueAsBytes(this);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a lease cannot be written as JSON", e);
    }
  }
}
