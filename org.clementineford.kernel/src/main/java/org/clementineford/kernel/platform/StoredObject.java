package org.clementineford.kernel.platform;

/**
 * An object of the platform's object API.
 *
 * @param key key of the object
 * @param version version of the value; each write increases it
 * @param value the value; callers must not change the array
 */
public record StoredObject(String key, long version, byte[] value) {}
