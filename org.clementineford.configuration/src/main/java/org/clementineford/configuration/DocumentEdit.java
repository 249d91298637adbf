package org.clementineford.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.clementineford.configuration.errors.DocumentException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.platform.VersionedObjectStore;

/**
 * An edit of one section: a new text, or its removal.
 *
 * @param identity identifier that the operator's client chose; an edit whose identifier was already
 *     applied is not applied again
 * @param section name of the section
 * @param team team that makes the change
 * @param baseRevision revision of the section on which the edit is based; 0 if it had no text
 * @param text new YAML text, or null to remove the section
 */
public record DocumentEdit(
    String identity, String section, String team, long baseRevision, String text) {
  // Clients read a change back within minutes; the design size is 2,600 changes a day.
  private static final int MAX_RECORDED_CHANGES = 200;
  private static final int MAX_REMOVED_SECTIONS = 100;
  private static final double SIZE_WARNING_FRACTION = 0.9;
  private static final int MAX_LISTED_SECTIONS = 3;

  /**
   * Result of an edit.
   *
   * @param document document that includes the change
   * @param change the recorded change
   * @param alreadyApplied true if the document already included the change
   * @param warnings messages for the operator
   */
  public record Result(
      Document document, AppliedChange change, boolean alreadyApplied, List<String> warnings) {}

  /**
   * Applies the edit to a document.
   *
   * @param current document that was read from the platform
   * @param epochMs wall-clock time, only for display
   * @return the result
   * @throws DocumentException kind {@code CONFLICT} if the section changed since the base revision,
   *     {@code NOT_OWNER} if another team owns it, {@code NOT_FOUND} if a section to remove does
   *     not exist, {@code INVALID_DOCUMENT} if a name is empty or the new document does not match
   *     the schema or is too large
   */
  public Result apply(Document current, long epochMs) throws DocumentException {
    Optional<AppliedChange> earlier = current.findChange(identity);
    if (earlier.isPresent()) {
      return new Result(current, earlier.get(), true, List.of());
    }
    if (section.isBlank() || team.isBlank() || identity.isBlank()) {
      throw new DocumentException(
          ErrorKind.INVALID_DOCUMENT, "section, team and change identity must not be empty");
    }
    checkOwnerAndRevision(current.sections().get(section));
    long revision = current.revision() + 1;
    Map<String, DocumentSection> sections = new TreeMap<>(current.sections());
    sections.put(section, new DocumentSection(section, team, revision, identity, text));
    dropOldestRemovedSections(sections);
    ConfigurationSnapshot after =
        DocumentValidator.validateAndMerge(new Document(revision, sections, null));
    AppliedChange change =
        new AppliedChange(
            identity, section, team, revision, epochMs, replacedVersions(current, after));
    List<AppliedChange> changes = new ArrayList<>(current.changes());
    changes.add(change);
    Document next =
        new Document(
            revision,
            sections,
            changes.subList(Math.max(0, changes.size() - MAX_RECORDED_CHANGES), changes.size()));
    return new Result(next, change, false, checkSize(next));
  }

  private void checkOwnerAndRevision(DocumentSection existing) throws DocumentException {
    boolean present = existing != null && !existing.isRemoved();
    if (present && !existing.owner().equals(team)) {
      throw new DocumentException(
          ErrorKind.NOT_OWNER,
          "section \""
              + section
              + "\" belongs to team \""
              + existing.owner()
              + "\", not to \""
              + team
              + "\"; ask that team for the change");
    }
    long actual = present ? existing.revision() : 0;
    if (actual != baseRevision && !(existing != null && baseRevision == existing.revision())) {
      throw new DocumentException(
          ErrorKind.CONFLICT,
          "section \""
              + section
              + "\" changed since revision "
              + baseRevision
              + (present
                  ? ": it has revision "
                      + actual
                      + " by change "
                      + existing.changeIdentity()
                      + " and now reads:\n"
                      + existing.text()
                      + "\n"
                  : ": it was removed. ")
              + "Read the section again and repeat the edit on it.");
    }
    if (text == null && !present) {
      throw new DocumentException(
          ErrorKind.NOT_FOUND, "section \"" + section + "\" does not exist; check its name");
    }
  }

  private static Map<String, String> replacedVersions(Document current, ConfigurationSnapshot after)
      throws DocumentException {
    Map<String, String> replaced = new TreeMap<>();
    for (ModelSpecification before :
        DocumentValidator.validateAndMerge(current).models().values()) {
      ModelSpecification now = after.models().get(before.name());
      if (now == null || !now.version().equals(before.version())) {
        replaced.put(before.name(), before.version());
      }
    }
    return replaced;
  }

  private static void dropOldestRemovedSections(Map<String, DocumentSection> sections) {
    List<DocumentSection> removed =
        sections.values().stream()
            .filter(DocumentSection::isRemoved)
            .sorted(Comparator.comparingLong(DocumentSection::revision).reversed())
            .skip(MAX_REMOVED_SECTIONS)
            .toList();
    removed.forEach(old -> sections.remove(old.name()));
  }

  private static List<String> checkSize(Document next) throws DocumentException {
    int size = next.toJson().length;
    if (size > VersionedObjectStore.MAX_VALUE_BYTES) {
      throw new DocumentException(
          ErrorKind.INVALID_DOCUMENT,
          "the document would have a size of "
              + size
              + " bytes; the limit is "
              + VersionedObjectStore.MAX_VALUE_BYTES
              + ". The largest sections are "
              + largestSections(next)
              + "; shorten one of them");
    }
    if (size >= SIZE_WARNING_FRACTION * VersionedObjectStore.MAX_VALUE_BYTES) {
      return List.of(
          "the document has a size of "
              + size
              + " of at most "
              + VersionedObjectStore.MAX_VALUE_BYTES
              + " bytes; shorten or remove sections. The largest sections are "
              + largestSections(next));
    }
    return List.of();
  }

  private static String largestSections(Document document) {
    return document.presentSections().stream()
        .sorted(
            Comparator.comparingInt((DocumentSection section) -> section.text().length())
                .reversed())
        .limit(MAX_LISTED_SECTIONS)
        .map(section -> section.name() + " (" + section.text().length() + " characters)")
        .collect(Collectors.joining(", "));
  }
}
