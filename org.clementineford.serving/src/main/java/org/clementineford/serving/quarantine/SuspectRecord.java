package org.clementineford.serving.quarantine;

import java.util.List;
import java.util.OptionalLong;

/**
 * What is known of one prompt part, as entry VMs exchange it.
 *
 * @param part the prompt part
 * @param crashes crashes of different engines that held a request with the part
 * @param soundAt time at which an engine last proved the part to be sound, in monotonic
 *     nanoseconds; empty if none did
 */
public record SuspectRecord(Suspect part, List<EngineCrash> crashes, OptionalLong soundAt) {
  /** Creates a record with an unmodifiable copy of the crashes. */
  public SuspectRecord {
    crashes = List.copyOf(crashes);
  }
}
