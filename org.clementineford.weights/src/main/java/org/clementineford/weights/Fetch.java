package org.clementineford.weights;

import org.clementineford.kernel.VmIdentity;

/**
 * One attempt to get one chunk.
 *
 * @param id number of the attempt, unique in its transfer
 * @param chunk number of the chunk
 * @param kind where the chunk comes from
 * @param peer the peer, or null if the source is no peer
 */
public record Fetch(long id, int chunk, SourceKind kind, VmIdentity peer) {}
