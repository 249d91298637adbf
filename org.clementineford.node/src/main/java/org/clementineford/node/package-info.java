/** Code common to all processes: settings, startup, components and views of the fleet. */
package org.clementineford.node;
