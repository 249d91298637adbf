package org.clementineford.serving.directory;

/**
 * One object of the platform.
 *
 * @param name name within its kind
 * @param revision revision of its last change
 * @param content the object as the platform encodes it; empty for a removed one
 * @param removed true if the object no longer exists
 */
public record StoredEntry(String name, long revision, byte[] content, boolean removed) {}
