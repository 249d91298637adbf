package org.clementineford.endpoint.internal.weights;

import org.clementineford.kernel.HostPort;

/**
 * Memory for copies.
 *
 * @param bytes largest number of bytes outside the heap
 * @param copyAddress loopback address from which engines load whole copies
 */
public record WeightsArea(long bytes, HostPort copyAddress) {}
