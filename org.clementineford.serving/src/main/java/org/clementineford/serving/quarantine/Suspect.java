package org.clementineford.serving.quarantine;

import java.util.List;

/**
 * What may have crashed an endpoint: a part of prompts that several requests to one service share,
 * or a request that its callers repeat.
 *
 * @param kind what it is
 * @param service name of the service
 * @param id ID of the part, or identity of the request
 */
public record Suspect(Kind kind, String service, String id) {
  private static final int MAX_ID_LENGTH = 64;
  private static final char TARGET_END = '-';

  /** Kinds of suspects. */
  public enum Kind {
    /** A part of prompts. It is blamed only for crashes under different requests. */
    PROMPT_PART(2),
    /** A request with its target, caller and body. */
    REQUEST(1);

    private final int minRequests;

    Kind(int minRequests) {
      this.minRequests = minRequests;
    }

    /** Returns the number of different requests that its crashes must be under. */
    int minRequests() {
      return minRequests;
    }
  }

  /** Shortens an overlong ID, so that callers cannot make this system store large ones. */
  public Suspect {
    if (id.length() > MAX_ID_LENGTH) {
      id = id.substring(0, MAX_ID_LENGTH);
    }
  }

  /**
   * Returns a request as a suspect.
   *
   * @param service name of the service
   * @param target digest of the target and the caller
   * @param body digest of the body
   * @return the suspect
   */
  public static Suspect request(String service, String target, String body) {
    return new Suspect(Kind.REQUEST, service, target + TARGET_END + body);
  }

  /** Returns the digest of the target and the caller of a request. */
  String target() {
    return id.substring(0, Math.max(0, id.indexOf(TARGET_END)));
  }

  /**
   * Returns the parts of a prompt as suspects.
   *
   * @param service name of the service
   * @param ids IDs of the parts
   * @return the suspects, without duplicates
   */
  public static List<Suspect> parts(String service, List<String> ids) {
    return ids.stream().distinct().map(id -> new Suspect(Kind.PROMPT_PART, service, id)).toList();
  }
}
