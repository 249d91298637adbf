package org.clementineford.client;

import java.nio.charset.StandardCharsets;
import org.clementineford.configuration.Document;
import org.clementineford.kernel.errors.ClementinefordException;

/** Reads the configuration document. */
public final class ReadDocument {
  private final EntryConnection connection;
  private DocumentSource source = DocumentSource.IN_FORCE;

  /**
   * Creates the command.
   *
   * @param connection connection to entry VMs
   */
  public ReadDocument(EntryConnection connection) {
    this.connection = connection;
  }

  /**
   * Sets the copy of the document to read.
   *
   * @param newSource the source; {@code IN_FORCE} if not set
   * @return this command
   */
  public ReadDocument setSource(DocumentSource newSource) {
    this.source = newSource;
    return this;
  }

  /**
   * Reads the document.
   *
   * @return the document
   * @throws ClementinefordException if no entry VM answers or the platform is down
   */
  public Document call() throws ClementinefordException {
    return Document.parse(
        connection.get(source.path()).toString().getBytes(StandardCharsets.UTF_8));
  }
}
