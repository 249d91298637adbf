/** Requests of callers on the entry VM. */
package org.clementineford.entry.internal.requests;
