package org.clementineford.serving.directory;

import java.util.List;

/**
 * What a listing or a watch returned.
 *
 * @param entries the objects, or the changes oldest first
 * @param revision revision of the platform that the entries lead to
 */
public record Listing(List<StoredEntry> entries, long revision) {
  /** Copies the entries. */
  public Listing {
    entries = List.copyOf(entries);
  }
}
