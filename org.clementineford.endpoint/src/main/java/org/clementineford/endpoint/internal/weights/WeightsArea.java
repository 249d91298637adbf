package org.clementineford.endpoint.internal.weights;

import org.clementineford.kernel.HostPort;

/**
 * Memory for weights, and the address from which engines load them.
 *
 * @param maxBytes maximum number of bytes outside the heap
 * @param copyAddress loopback address from which engines load complete copies
 */
public record WeightsArea(long maxBytes, HostPort copyAddress) {}
