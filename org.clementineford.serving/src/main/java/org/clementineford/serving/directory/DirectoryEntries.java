package org.clementineford.serving.directory;

import java.util.List;
import java.util.OptionalLong;

/**
 * Result of a list or watch call.
 *
 * @param entries all objects for a list call; for a watch call the changes, oldest first
 * @param era number of the platform's history in which the revision counts; it rises when the
 *     platform is restored from a copy, which gives revisions out again. Empty if the answer does
 *     not tell
 * @param revision revision of the platform that includes these entries
 */
public record DirectoryEntries(List<DirectoryEntry> entries, OptionalLong era, long revision) {
  /** Creates a result with an unmodifiable copy of the entries. */
  public DirectoryEntries {
    entries = List.copyOf(entries);
  }

  /**
   * Creates a result that does not tell its era.
   *
   * @param entries the objects or changes
   * @param revision revision of the platform that includes these entries
   */
  public DirectoryEntries(List<DirectoryEntry> entries, long revision) {
    this(entries, OptionalLong.empty(), revision);
  }
}
