/** Endpoint VM process: transfers weights to the engine on its VM and reports the engine's load. */
package org.clementineford.replica;
