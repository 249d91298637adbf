/** Membership table, failure detection and the topology along which updates spread. */
package org.clementineford.configuration.membership;
