package org.clementineford.weights;

import java.util.List;

/**
 * Fetches that a transfer asks its caller to start and to cancel.
 *
 * @param cancelled fetches to cancel, since they received no byte for too long; those whose chunk
 *     arrived from another source are returned by {@link TransferState#succeeded}
 * @param started fetches to start
 */
public record TransferActions(List<Fetch> cancelled, List<Fetch> started) {
  /** Copies the lists. */
  public TransferActions {
    cancelled = List.copyOf(cancelled);
    started = List.copyOf(started);
  }
}
