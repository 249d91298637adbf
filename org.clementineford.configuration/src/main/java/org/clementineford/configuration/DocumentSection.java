package org.clementineford.configuration;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * A section of the document.
 *
 * @param name name of the section, unique in the document
 * @param owner team that may change it
 * @param revision revision of the document in which it changed last
 * @param changeIdentity identity of that change
 * @param text YAML text, or null if the section was removed in that revision
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record DocumentSection(
    String name, String owner, long revision, String changeIdentity, String text) {
  /**
   * Tells whether the section was removed. The entry stays so that a delta tells of the removal.
   *
   * @return true if there is no text
   */
  @JsonIgnore
  public boolean isRemoved() {
    return text == null;
  }
}
