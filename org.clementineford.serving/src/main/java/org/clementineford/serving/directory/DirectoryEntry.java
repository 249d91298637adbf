package org.clementineford.serving.directory;

/**
 * An object of the platform's object API, or its removal.
 *
 * @param name name, unique within its kind
 * @param revision revision of its last change
 * @param content the object as the platform encodes it; empty for a removed object
 * @param removed true if the object no longer exists
 */
public record DirectoryEntry(String name, long revision, byte[] content, boolean removed) {}
