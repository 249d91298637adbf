/** Parts of the stand-ins that others do not use. */
package org.clementineford.standins.internal;
