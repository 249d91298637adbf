/** Connections and request handling of the entry VM. Not for use outside of this bundle. */
package org.clementineford.gateway.internal;
