/** Kinds of stand-ins that {@code bin/standin} runs as processes. */
package org.clementineford.standins.kinds;
