/** Leases that are stored as objects of the platform. */
package org.clementineford.configuration.lease;
