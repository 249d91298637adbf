package org.clementineford.kernel;

/** Task of the process on a VM. */
public enum VmRole {
  /** Accepts requests from callers and routes them to endpoints. */
  ENTRY,
  /** Forwards requests to the engines and plain services on its VM. */
  ENDPOINT,
  /** Runs an operator's commands. */
  CLIENT
}
