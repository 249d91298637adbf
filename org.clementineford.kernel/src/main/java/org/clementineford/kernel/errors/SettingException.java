package org.clementineford.kernel.errors;

/** Thrown if a setting is missing or has an invalid value. */
public class SettingException extends ClementinefordException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message text that names the setting, the value and the remedy
   */
  public SettingException(String message) {
    super(ErrorKind.INVALID_SETTING, message);
  }
}
