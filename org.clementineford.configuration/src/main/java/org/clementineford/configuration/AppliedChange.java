package org.clementineford.configuration;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Map;

/**
 * A change that was applied to the document.
 *
 * @param identity identifier that the operator's client chose, unique for each change
 * @param section name of the section
 * @param team team that made the change
 * @param revision revision of the document that the change created
 * @param epochMs wall-clock time of the entry VM that wrote it, in milliseconds since the epoch;
 *     only for display
 * @param replacedVersions target versions before the change, by name of each model whose version it
 *     changed or that it removed; a rollback restores them
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record AppliedChange(
    String identity,
    String section,
    String team,
    long revision,
    long epochMs,
    Map<String, String> replacedVersions) {
  /** Copies the map; null becomes an empty map. */
  public AppliedChange {
    replacedVersions = replacedVersions == null ? Map.of() : Map.copyOf(replacedVersions);
  }
}
