/** Transfer and activation of weights. Internal to this bundle. */
package org.clementineford.replica.internal;
