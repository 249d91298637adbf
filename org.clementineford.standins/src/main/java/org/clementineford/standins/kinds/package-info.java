/** Kinds of stand-ins that run as processes. */
package org.clementineford.standins.kinds;
