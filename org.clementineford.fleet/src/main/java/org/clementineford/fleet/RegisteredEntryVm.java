package org.clementineford.fleet;

import org.clementineford.kernel.HostPort;

/**
 * Registration of an entry VM.
 *
 * @param address address at which it answers its peers
 * @param dataCentre its data centre; empty if the registration does not name it
 */
public record RegisteredEntryVm(HostPort address, String dataCentre) {}
