package org.clementineford.serving.directory;

/** Kinds of platform objects of which processes keep copies. */
public enum ObjectKind {
  /** The operators' configuration. */
  CONFIGURATION(true),
  /** The registered endpoints. */
  ENDPOINTS(false),
  /** The versions of the weights that operators set as targets for models. */
  WEIGHT_TARGETS(true),
  /** The registered entry VMs. */
  ENTRY_VMS(false);

  private final boolean versionedByOperators;

  ObjectKind(boolean versionedByOperators) {
    this.versionedByOperators = versionedByOperators;
  }

  /**
   * Returns whether operators write these objects and raise a version number with each change.
   *
   * @return true if a lower version of an object never replaces a higher one
   */
  public boolean isVersionedByOperators() {
    return versionedByOperators;
  }
}
