/** Netty handlers and connection state. */
package org.clementineford.transport.internal;
