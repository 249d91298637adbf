package org.clementineford.kernel.platform;

/**
 * An object as the platform holds it.
 *
 * @param key key of the object
 * @param version version of the value; every write raises it
 * @param value the value; callers must not change the array
 */
public record StoredObject(String key, long version, byte[] value) {}
