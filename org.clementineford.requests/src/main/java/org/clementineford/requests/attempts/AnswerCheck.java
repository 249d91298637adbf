package org.clementineford.requests.attempts;

import java.util.zip.CRC32C;

/** Checks that the parts of an answer belong to one request, in order and complete. */
public final class AnswerCheck {
  private final String requestId;
  private final CRC32C checksum = new CRC32C();
  private long length;

  /**
   * Creates a check.
   *
   * @param requestId request that the answer must be for
   */
  public AnswerCheck(String requestId) {
    this.requestId = requestId;
  }

  /**
   * Checks whether a message is for the request.
   *
   * @param id request that the message names
   * @return false if the message belongs to another request
   */
  public boolean isOwn(String id) {
    return requestId.equals(id);
  }

  /**
   * Takes a part.
   *
   * @param id request that the part names
   * @param offset position of the part, in bytes from the start of the body
   * @param bytes the part
   * @return false if the part is for another request or does not follow the previous one
   */
  public boolean part(String id, long offset, byte[] bytes) {
    if (!isOwn(id) || offset != length) {
      return false;
    }
    checksum.update(bytes);
    length += bytes.length;
    return true;
  }

  /**
   * Checks the end.
   *
   * @param id request that the end names
   * @param statedLength length of the body in bytes
   * @param statedChecksum CRC32C of the body
   * @return false if the body is not the stated one
   */
  public boolean end(String id, long statedLength, long statedChecksum) {
    return isOwn(id) && statedLength == length && statedChecksum == checksum.getValue();
  }
}
