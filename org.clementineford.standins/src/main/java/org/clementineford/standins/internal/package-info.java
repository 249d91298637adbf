/** Implementation of the stand-ins; not for use by other bundles. */
package org.clementineford.standins.internal;
