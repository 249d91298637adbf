package org.clementineford.serving.quarantine;

/**
 * A part of prompts that several requests to one service may share.
 *
 * @param service name of the service
 * @param id ID of the part
 */
public record Suspect(String service, String id) {
  private static final int MAX_ID_LENGTH = 64;

  /** Shortens an overlong ID, so that callers cannot make this system store large ones. */
  public Suspect {
    if (id.length() > MAX_ID_LENGTH) {
      id = id.substring(0, MAX_ID_LENGTH);
    }
  }
}
