/** Netty channel handlers and the state of connections between peers. */
package org.clementineford.transport.internal;
