/** What entry VMs and endpoint VMs share: copies of platform objects and datagrams. */
package org.clementineford.fleet;
