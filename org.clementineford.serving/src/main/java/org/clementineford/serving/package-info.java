/** Decisions of the entry VMs and endpoint VMs on the platform; no sockets, threads or timers. */
package org.clementineford.serving;
