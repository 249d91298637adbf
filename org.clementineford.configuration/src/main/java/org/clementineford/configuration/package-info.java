/** Document, sections, revisions, spread, membership and leases. */
package org.clementineford.configuration;
