/** Agents that every process runs. */
package org.clementineford.node.internal;
