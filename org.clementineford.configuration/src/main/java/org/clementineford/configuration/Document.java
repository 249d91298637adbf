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
 * The operators' document at one revision.
 *
 * @param revision number of changes so far; 0 for the empty document
 * @param sections sections by name, including removed ones
 * @param changes the latest changes, oldest first
 */
public record Document(
    long revision, Map<String, DocumentSection> sections, List<AppliedChange> changes) {
  /** The document before the first change. */
  public static final Document EMPTY = new Document(0, Map.of(), List.of());

  /** Key of the object that holds the document. */
  public static final String OBJECT_KEY = "configuration/document";

  private static final ObjectMapper JSON = JsonMapper.builder().build();

  /** Copies the collections; sections are kept in the order of their names. */
  public Document {
    sections = sections == null ? Map.of() : sections;
    sections = Collections.unmodifiableMap(new TreeMap<>(sections));
    changes = changes == null ? List.of() : List.copyOf(changes);
  }

  /**
   * Reads the stored form.
   *
   * @param json UTF-8 JSON
   * @return the document
   * @throws DocumentException kind {@code CORRUPT_DATA} if the bytes are not a document
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
        throw corrupt("section \"" + entry.getKey() + "\" has another name inside");
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
   * Returns the stored form.
   *
   * @return UTF-8 JSON
   */
  public byte[] toJson() {
    try {
      return JSON.writeValueAsBytes(this);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a document cannot be written as JSON", e);
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
   * Takes in sections that changed.
   *
   * @param newRevision revision of the sender's document
   * @param changed all sections that changed between a revision that is not above this document's
   *     and {@code newRevision}
   * @return a document of revision {@code newRevision}
   */
  public Document merge(long newRevision, Collection<DocumentSection> changed) {
    Map<String, DocumentSection> merged = new TreeMap<>(sections);
    for (DocumentSection section : changed) {
      merged.merge(
          section.name(),
          section,
          (mine, received) -> received.revision() > mine.revision() ? received : mine);
    }
    return new Document(newRevision, merged, changes);
  }

  /**
   * Returns the change with an identity.
   *
   * @param identity identity of the change
   * @return the change, or empty if it is not among the latest changes and no section's last one
   */
  public Optional<AppliedChange> findChange(String identity) {
    Optional<AppliedChange> listed =
        changes.stream().filter(change -> change.identity().equals(identity)).findFirst();
    if (listed.isPresent()) {
      return listed;
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
   * @return the sections in the order of their names
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
