/** Small stand-ins of outside systems, for tests and measurements. */
package org.clementineford.standins;
