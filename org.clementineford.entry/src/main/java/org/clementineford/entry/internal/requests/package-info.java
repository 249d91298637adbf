/** Handling of client requests on the entry VM. */
package org.clementineford.entry.internal.requests;
