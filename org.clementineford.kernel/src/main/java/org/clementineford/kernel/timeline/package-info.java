/** Events of a process, and the clock that orders the events of all processes. */
package org.clementineford.kernel.timeline;
