/** Interfaces of the outside systems that plug-ins adapt. */
package org.clementineford.kernel.platform;
