package org.clementineford.serving.directory;

/** Kinds of platform objects of which processes keep copies. */
public enum ObjectKind {
  /** The operators' configuration. */
  CONFIGURATION,
  /** The registered endpoints. */
  ENDPOINTS,
  /** The versions of the weights that operators set as targets for models. */
  WEIGHT_TARGETS,
  /** The registered entry VMs. */
  ENTRY_VMS
}
