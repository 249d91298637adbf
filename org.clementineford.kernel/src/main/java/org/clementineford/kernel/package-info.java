/** Identifiers, clocks, settings, events, errors and the interfaces that plug-ins implement. */
package org.clementineford.kernel;
