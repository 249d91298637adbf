package org.clementineford.requests.attempts;

import java.util.zip.CRC32C;

/** Verifies that the parts of an answer belong to one request, arrive in order and are complete. */
public final class AnswerCheck {
  private final String requestId;
  private final CRC32C checksum = new CRC32C();
  private long length;

  /**
   * Creates a check.
   *
   * @param requestId identity of the request that the answer must belong to
   */
  public AnswerCheck(String requestId) {
    this.requestId = requestId;
  }

  /**
   * Returns whether a message belongs to the request.
   *
   * @param id identity of the request in the message
   * @return false if the identity is that of another request
   */
  public boolean belongsToRequest(String id) {
    return requestId.equals(id);
  }

  /**
   * Verifies a part and adds it to the length and the checksum.
   *
   * @param id identity of the request in the part
   * @param offset position of the part, in bytes from the start of the body
   * @param bytes the part
   * @return false if the part belongs to another request or does not follow the previous part
   */
  public boolean acceptPart(String id, long offset, byte[] bytes) {
    if (!belongsToRequest(id) || offset != length) {
      return false;
    }
    checksum.update(bytes);
    length += bytes.length;
    return true;
  }

  /**
   * Verifies length and checksum at the end of the answer.
   *
   * @param id identity of the request in the end message
   * @param expectedLength length of the body according to the end message, in bytes
   * @param expectedChecksum CRC32C of the body according to the end message
   * @return false if the request, the length or the checksum does not match
   */
  public boolean acceptEnd(String id, long expectedLength, long expectedChecksum) {
    return belongsToRequest(id)
        && expectedLength == length
        && expectedChecksum == checksum.getValue();
  }
}
