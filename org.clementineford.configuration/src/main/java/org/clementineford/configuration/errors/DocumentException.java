package org.clementineford.configuration.errors;

import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;

/** Thrown when the document, one of its sections or a change to it is invalid or refused. */
public class DocumentException extends ClementinefordException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param kind {@code INVALID_DOCUMENT}, {@code CONFLICT}, {@code NOT_OWNER}, {@code NOT_FOUND} or
   *     {@code CORRUPT_DATA}
   * @param message message that names the section, line, value and remedy where they are known
   */
  public DocumentException(ErrorKind kind, String message) {
    super(kind, message);
  }
}
