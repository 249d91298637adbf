package org.clementineford.client;

/** Where a command reads the document. */
public enum DocumentSource {
  /** What the entry VM acts on, also while the platform is down. */
  IN_FORCE("/document"),
  /** What the platform holds; fails while it is down. */
  STORED("/document/stored");

  private final String path;

  DocumentSource(String path) {
    this.path = path;
  }

  String path() {
    return path;
  }
}
