package org.clementineford.configuration;

/**
 * A change that took effect.
 *
 * @param identity identity that the operator's client chose, unique for each change
 * @param section name of the section
 * @param team team that made it
 * @param revision revision of the document that it made
 * @param epochMs wall-clock time of the entry VM that wrote it, in milliseconds since the epoch;
 *     only for display
 */
public record AppliedChange(
    String identity, String section, String team, long revision, long epochMs) {}
