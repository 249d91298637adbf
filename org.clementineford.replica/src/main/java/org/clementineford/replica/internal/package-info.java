/** Transfers and activation of weights. Not for use outside of this bundle. */
package org.clementineford.replica.internal;
