package org.clementineford.serving.streams;

/**
 * A complete event of an event stream.
 *
 * @param bytes bytes of the event, including the blank line that ends it
 * @param id ID of the event; null if it has none
 */
public record StreamEvent(byte[] bytes, String id) {}
