/** Main classes of the daemons for entry VMs and endpoint VMs. */
package org.clementineford.daemons;
