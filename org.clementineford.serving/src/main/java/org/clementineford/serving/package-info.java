/**
 * Decision logic of entry VMs and endpoint VMs on the platform. It opens no sockets and starts no
 * threads or timers.
 */
package org.clementineford.serving;
