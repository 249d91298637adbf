/** Leases on objects of the platform. */
package org.clementineford.configuration.lease;
