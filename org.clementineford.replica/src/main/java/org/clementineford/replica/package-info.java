/** The endpoint VM: brings weights to the engine of its VM and reports the engine's load. */
package org.clementineford.replica;
