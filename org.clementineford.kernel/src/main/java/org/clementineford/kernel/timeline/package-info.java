/** Typed events and the clock that orders them over all processes. */
package org.clementineford.kernel.timeline;
