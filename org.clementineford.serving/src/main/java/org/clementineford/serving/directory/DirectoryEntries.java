package org.clementineford.serving.directory;

import java.util.List;

/**
 * Result of a list or watch call.
 *
 * @param entries all objects for a list call; for a watch call the changes, oldest first
 * @param revision revision of the platform that includes these entries
 */
public record DirectoryEntries(List<DirectoryEntry> entries, long revision) {
  /** Creates a result with an unmodifiable copy of the entries. */
  public DirectoryEntries {
    entries = List.copyOf(entries);
  }
}
