package org.clementineford.serving.directory;

/** Kinds of platform objects that processes keep copies of. */
public enum ObjectKind {
  /** The operators' configuration. */
  CONFIGURATION,
  /** The endpoints, as they registered themselves. */
  ENDPOINTS,
  /** The versions of weights that operators named. */
  WEIGHT_TARGETS,
  /** The entry VMs, as they registered themselves. */
  ENTRY_VMS
}
