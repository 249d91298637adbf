package org.clementineford.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.clementineford.configuration.errors.DocumentException;
import org.clementineford.kernel.errors.ErrorKind;

/**
 * One revision of the configuration document that operators edit.
 *
 * @param revision number of changes so far; 0 for the empty document
 * @param sections sections by name, including recently removed ones
 * @param changes the latest changes, oldest first
 */
public record Document(
    long revision, Map<String, DocumentSection> sections, List<AppliedChange> changes) {
  /** The document before the first change. */
  public static final Document EMPTY = new Document(0, Map.of(), List.of());

  /** Key of the object that holds the document. */
  public static final String OBJECT_KEY = "configuration/document";

  private static final ObjectMapper JSON = JsonMapper.builder().build();

  /** Copies the collections and sorts the sections by name; null becomes an empty collection. */
  public Document {
    sections = sections == null ? Map.of() : sections;
    sections = Collections.unmodifiableMap(new TreeMap<>(sections));
    changes = changes == null ? List.of() : List.copyOf(changes);
  }

  /**
   * Parses the stored JSON form.
   *
   * @param json UTF-8 JSON
   * @return the document
   * @throws DocumentException kind {@code CORRUPT_DATA} if the bytes are not a valid document
   */
  public static Document parse(byte[] json) throws DocumentException {
    Document document;
    try {
      document = JSON.readValue(json, Document.class);
    } catch (IOException e) {
      throw corrupt(e.getMessage().lines().findFirst().orElse("unreadable"));
    }
    if (document == null) {
      throw corrupt("no JSON object");
    }
    for (Map.Entry<String, DocumentSection> entry : document.sections.entrySet()) {
      DocumentSection section = entry.getValue();
      if (section == null || !entry.getKey().equals(section.name())) {
        throw corrupt("section \"" + entry.getKey() + "\" has a different name in its content");
      }
      if (section.revision() < 1 || section.revision() > document.revision) {
        throw corrupt(
            "section \""
                + section.name()
                + "\" has revision "
                + section.revision()
                + " in a document of revision "
                + document.revision);
      }
    }
    return document;
  }

  private static DocumentException corrupt(String cause) {
    return new DocumentException(
        ErrorKind.CORRUPT_DATA,
        "object " + OBJECT_KEY + " is damaged (" + cause + "); restore it from an earlier version");
  }

  /**
   * Returns the stored JSON form.
   *
   * @return UTF-8 JSON
   */
  public byte[] toJson() {
    try {
      return JSON.writeValueAsBytes(this);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("failed to serialize the document as JSON", e);
    }
  }

  /**
   * Returns the sections that changed after a revision.
   *
   * @param since revision that the receiver has
   * @return the sections, including removed ones
   */
  public List<DocumentSection> changedSince(long since) {
    return sections.values().stream().filter(section -> section.revision() > since).toList();
  }

  /**
   * Merges changed sections into this document.
   *
   * @param newRevision revision of the sender's document
   * @param changed all sections that changed after some revision up to {@code newRevision}; that
   *     revision must not be higher than this document's revision
   * @return the merged document, with revision {@code newRevision}
   */
  public Document merge(long newRevision, Collection<DocumentSection> changed) {
    Map<String, DocumentSection> merged = new TreeMap<>(sections);
    for (DocumentSection section : changed) {
      merged.merge(
          section.name(),
          section,
          (existing, received) -> received.revision() > existing.revision() ? received : existing);
    }
    return new Document(newRevision, merged, changes);
  }

  /**
   * Returns the change with the given identifier.
   *
   * @param identity identifier of the change
   * @return the change, or empty if it is neither among the latest changes nor the last change of a
   *     section
   */
  public Optional<AppliedChange> findChange(String identity) {
    Optional<AppliedChange> recent =
        changes.stream().filter(change -> change.identity().equals(identity)).findFirst();
    if (recent.isPresent()) {
      return recent;
    }
    return sections.values().stream()
        .filter(section -> section.changeIdentity().equals(identity))
        .map(
            section ->
                new AppliedChange(
                    identity, section.name(), section.owner(), section.revision(), 0, Map.of()))
        .findFirst();
  }

  /**
   * Returns the sections that were not removed.
   *
   * @return the sections, sorted by name
   */
  public List<DocumentSection> presentSections() {
    List<DocumentSection> present = new ArrayList<>();
    for (DocumentSection section : sections.values()) {
      if (!section.isRemoved()) {
        present.add(section);
      }
    }
    return present;
  }
}
