package org.clementineford.serving.directory;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * An entry that stays in use although the platform shows another state of the object, since what
 * operators and endpoints wrote before an outage or a restoration is written again.
 *
 * @param entry the entry in use
 * @param shown the object as the platform shows it; empty if it is missing there
 * @param until monotonic time in nanoseconds at which the platform's state takes effect; empty if
 *     only when the object is written again
 */
public record KeptEntry(DirectoryEntry entry, Optional<DirectoryEntry> shown, OptionalLong until) {}
