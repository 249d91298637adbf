package org.clementineford.serving.quarantine;

import java.util.List;
import java.util.OptionalLong;

/**
 * What is known of one suspect, as entry VMs exchange it.
 *
 * @param suspect the suspect
 * @param crashes crashes of different engines that held such a request
 * @param soundAt time at which an engine last proved it to be sound, in monotonic nanoseconds;
 *     empty if none did
 */
public record SuspectRecord(Suspect suspect, List<EngineCrash> crashes, OptionalLong soundAt) {
  /** Creates a record with an unmodifiable copy of the crashes. */
  public SuspectRecord {
    crashes = List.copyOf(crashes);
  }
}
