package org.clementineford.configuration;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * A section of the configuration document.
 *
 * @param name name of the section, unique in the document
 * @param owner team that may change the section
 * @param revision revision of the document in which the section last changed
 * @param changeIdentity identifier of that change
 * @param text YAML text, or null if the section was removed in that revision
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record DocumentSection(
    String name, String owner, long revision, String changeIdentity, String text) {
  /**
   * Returns whether the section was removed. A removed section stays in the document without text,
   * so that deltas include the removal.
   *
   * @return true if the section was removed
   */
  @JsonIgnore
  public boolean isRemoved() {
    return text == null;
  }
}
