/** Shared parts of entry VMs and endpoint VMs: copies of platform objects, datagrams, settings. */
package org.clementineford.fleet;
