package org.clementineford.weights;

import java.util.List;

/**
 * What a transfer asks its process to do.
 *
 * @param cancelled fetches to give up; they received no byte for too long or another one won
 * @param started fetches to start
 */
public record TransferActions(List<Fetch> cancelled, List<Fetch> started) {
  /** Copies the lists. */
  public TransferActions {
    cancelled = List.copyOf(cancelled);
    started = List.copyOf(started);
  }
}
