/** Stand-ins that simulate external systems in tests and measurements. */
package org.clementineford.standins;
