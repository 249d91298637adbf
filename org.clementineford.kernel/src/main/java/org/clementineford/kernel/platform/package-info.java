/** Interfaces to external systems, implemented by plug-ins. */
package org.clementineford.kernel.platform;
