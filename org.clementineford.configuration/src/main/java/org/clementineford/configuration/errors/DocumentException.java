package org.clementineford.configuration.errors;

import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;

/** The document, one of its sections or a change of it is not acceptable. */
public class DocumentException extends ClementinefordException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param kind {@code INVALID_DOCUMENT}, {@code CONFLICT}, {@code NOT_OWNER} or {@code
   *     CORRUPT_DATA}
   * @param message names section, line, value and remedy as far as they are known
   */
  public DocumentException(ErrorKind kind, String message) {
    super(kind, message);
  }
}
