package org.clementineford.serving.directory;

/**
 * An object of the platform's object API, or its removal.
 *
 * @param name name, unique within its kind
 * @param revision revision of its last change
 * @param content the object as the platform encodes it; empty for a removed object
 * @param removed true if the object no longer exists
 * @param operatorVersion version number that operators gave the object, which they only raise; 0
 *     for objects that are not versioned by operators
 */
public record DirectoryEntry(
    String name, long revision, byte[] content, boolean removed, long operatorVersion) {
  /**
   * Creates an entry that is not versioned by operators.
   *
   * @param name name, unique within its kind
   * @param revision revision of its last change
   * @param content the object as the platform encodes it
   * @param removed true if the object no longer exists
   */
  public DirectoryEntry(String name, long revision, byte[] content, boolean removed) {
    this(name, revision, content, removed, 0);
  }
}
