/** Main classes of the daemons. */
package org.clementineford.daemons;
