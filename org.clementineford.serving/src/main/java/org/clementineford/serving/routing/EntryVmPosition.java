package org.clementineford.serving.routing;

/**
 * Position of this entry VM among all entry VMs, by which limits are divided without messages.
 *
 * @param entryVms number of entry VMs that share a limit, including an allowance for unknown ones
 * @param phase position of this VM in the order of their addresses, from 0 inclusive to 1 exclusive
 */
public record EntryVmPosition(int entryVms, double phase) {}
