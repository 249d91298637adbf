/** Agents and admin server run by every process. */
package org.clementineford.node.internal;
