package org.clementineford.kernel;

/**
 * Identity of one incarnation of the process on a VM. A restart begins a new incarnation.
 *
 * @param vm name of the VM, unique among all VMs
 * @param role task of the process
 * @param dataCentre data centre that holds the VM
 * @param region region that holds the data centre
 * @param incarnation number of this incarnation; a later one has a higher number
 * @param address where the process accepts connections from other processes of this project
 */
public record VmIdentity(
    String vm, VmRole role, String dataCentre, String region, long incarnation, HostPort address) {}
