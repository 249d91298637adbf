package org.clementineford.client;

import com.fasterxml.jackson.databind.JsonNode;
import org.clementineford.kernel.errors.ClementinefordException;

/** Reads the status of all members in the membership list of an entry VM. */
public final class FleetStatus {
  private final EntryConnection connection;

  /**
   * Creates the command.
   *
   * @param connection connection to entry VMs
   */
  public FleetStatus(EntryConnection connection) {
    this.connection = connection;
  }

  /**
   * Reads the status.
   *
   * @return an object with an array {@code members}; members that did not answer have {@code
   *     reachable} false
   * @throws ClementinefordException if no entry VM answers
   */
  public JsonNode call() throws ClementinefordException {
    return connection.get("/status");
  }
}
