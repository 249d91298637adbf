package org.clementineford.configuration;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Map;

/**
 * A change that took effect.
 *
 * @param identity identity that the operator's client chose, unique for each change
 * @param section name of the section
 * @param team team that made it
 * @param revision revision of the document that it made
 * @param epochMs wall-clock time of the entry VM that wrote it, in milliseconds since the epoch;
 *     only for display
 * @param replacedVersions wanted version before the change, by name of each model whose version it
 *     changed; a rollback returns to it
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record AppliedChange(
    String identity,
    String section,
    String team,
    long revision,
    long epochMs,
    Map<String, String> replacedVersions) {
  /** Copies the map; a missing one is empty. */
  public AppliedChange {
    replacedVersions = replacedVersions == null ? Map.of() : Map.copyOf(replacedVersions);
  }
}
