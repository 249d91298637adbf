package org.clementineford.serving.streams;

/**
 * A whole event of a stream.
 *
 * @param bytes the event with its blank line
 * @param identity its identity; null if it has none
 */
public record StreamEvent(byte[] bytes, String identity) {}
