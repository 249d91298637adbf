package org.clementineford.weights;

/** How a fetch ended without a valid chunk. */
public enum FetchOutcome {
  /** The bytes do not match the digest; the sender is avoided. */
  CORRUPT,
  /** The sender has no free upload slot; it may be asked again later. */
  BUSY,
  /** The sender does not hold the chunk. */
  ABSENT,
  /** The connection was lost; the sender counts as gone until its next chunk map. */
  LOST,
  /** No byte arrived within the progress deadline; the sender is avoided. */
  SILENT
}
