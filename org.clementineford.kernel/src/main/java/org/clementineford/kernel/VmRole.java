package org.clementineford.kernel;

/** What the process on a VM does. */
public enum VmRole {
  /** Accepts requests of callers and routes them. */
  ENTRY,
  /** Stands before the engines and plain services of its VM. */
  ENDPOINT,
  /** An operator's client. */
  CLIENT
}
