package org.clementineford.client;

/** Copy of the document that a command reads. */
public enum DocumentSource {
  /** The document in force on the entry VM; readable even while the platform is down. */
  IN_FORCE("/document"),
  /** The document stored on the platform; reading fails while the platform is down. */
  STORED("/document/stored");

  private final String path;

  DocumentSource(String path) {
    this.path = path;
  }

  String path() {
    return path;
  }
}
