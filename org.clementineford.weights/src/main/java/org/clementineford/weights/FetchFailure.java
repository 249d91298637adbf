package org.clementineford.weights;

/** Reasons why a fetch failed. */
public enum FetchFailure {
  /** The bytes do not match the digest; the sender is avoided for a while. */
  CORRUPT,
  /** The sender has no free upload slot; it may be asked again later. */
  BUSY,
  /** The sender does not hold the chunk. */
  ABSENT,
  /** The connection was lost; the sender is treated as dead until its next chunk map. */
  LOST,
  /** No byte arrived within the progress timeout; the sender is avoided for a while. */
  SILENT
}
