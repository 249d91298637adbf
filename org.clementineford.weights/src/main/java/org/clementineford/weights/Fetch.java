package org.clementineford.weights;

import org.clementineford.kernel.VmIdentity;

/**
 * Attempt to fetch one chunk from one source.
 *
 * @param id number of the attempt, unique in its transfer
 * @param chunk number of the chunk
 * @param kind kind of the source
 * @param peer the peer, or null if the source is not a peer
 */
public record Fetch(long id, int chunk, SourceKind kind, VmIdentity peer) {}
