package org.clementineford.kernel;

/**
 * One life of the process on a VM.
 *
 * @param vm name of the VM, unique in the fleet
 * @param role what the process does
 * @param dataCentre data centre that holds the VM
 * @param region region that holds the data centre
 * @param incarnation number of this life of the process; a later life has a higher number
 * @param address listener for other processes of this project
 */
public record VmIdentity(
    String vm, VmRole role, String dataCentre, String region, long incarnation, HostPort address) {}
