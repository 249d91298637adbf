package org.clementineford.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.clementineford.configuration.Document;
import org.clementineford.configuration.DocumentEdit;
import org.clementineford.configuration.DocumentSection;
import org.clementineford.kernel.errors.ClementinefordException;

/** Replaces the text of a section. A repeated call with the same identity has no further effect. */
public final class ApplySection {
  private final EntryConnection connection;
  private String section = "";
  private String team = "";
  private String text;
  private String changeIdentity = UUID.randomUUID().toString();
  private long baseRevision = -1;

  /**
   * Creates the command.
   *
   * @param connection connection to entry VMs
   */
  public ApplySection(EntryConnection connection) {
    this.connection = connection;
  }

  /**
   * Sets the section.
   *
   * @param name name of the section
   * @return this command
   */
  public ApplySection setSection(String name) {
    this.section = name;
    return this;
  }

  /**
   * Sets the team that makes the change.
   *
   * @param name name of the team
   * @return this command
   */
  public ApplySection setTeam(String name) {
    this.team = name;
    return this;
  }

  /**
   * Sets the new text.
   *
   * @param yaml the section as YAML, or null to remove the section
   * @return this command
   */
  public ApplySection setText(String yaml) {
    this.text = yaml;
    return this;
  }

  /**
   * Sets the identity of the change.
   *
   * @param identity identity of the change; random if not set
   * @return this command
   */
  public ApplySection setChangeIdentity(String identity) {
    this.changeIdentity = identity;
    return this;
  }

  /**
   * Sets the revision of the section that the text is based on.
   *
   * @param revision revision of the section, 0 if it did not exist; the stored revision if not set
   * @return this command
   */
  public ApplySection setBaseRevision(long revision) {
    this.baseRevision = revision;
    return this;
  }

  /**
   * Returns the identity of the change.
   *
   * @return the identity with which to repeat the call after an unknown outcome
   */
  public String changeIdentity() {
    return changeIdentity;
  }

  /**
   * Makes the change.
   *
   * @return the result
   * @throws ClementinefordException the kinds of {@link DocumentEdit#apply}, {@code UNAVAILABLE} if
   *     the change was not made, or {@code OUTCOME_UNKNOWN}
   */
  public ApplyResult call() throws ClementinefordException {
    long base = baseRevision;
    if (base < 0) {
      Document stored = new ReadDocument(connection).setSource(DocumentSource.STORED).call();
      if (stored.findChange(changeIdentity).isEmpty()) {
        DocumentSection existing = stored.sections().get(section);
        base = existing == null || existing.isRemoved() ? 0 : existing.revision();
      }
    }
    DocumentEdit edit = new DocumentEdit(changeIdentity, section, team, Math.max(0, base), text);
    JsonNode answer = connection.post("/document/apply", edit);
    List<String> warnings = new ArrayList<>();
    answer.path("warnings").forEach(warning -> warnings.add(warning.asText()));
    return new ApplyResult(
        answer.path("alreadyApplied").asBoolean()
            ? ApplyResult.Outcome.ALREADY_APPLIED
            : ApplyResult.Outcome.APPLIED,
        answer.path("change").path("revision").asLong(),
        changeIdentity,
        warnings);
  }
}
