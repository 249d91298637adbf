package org.clementineford.weights;

import java.util.BitSet;

/** Which chunks of a manifest a VM holds. Not safe for use by several threads. */
public final class ChunkMap {
  private final BitSet bits;
  private final int chunks;

  /**
   * Creates an empty map.
   *
   * @param chunks number of chunks of the manifest
   */
  public ChunkMap(int chunks) {
    this(new BitSet(chunks), chunks);
  }

  private ChunkMap(BitSet bits, int chunks) {
    this.bits = bits;
    this.chunks = chunks;
  }

  /**
   * Reads a received bitmap; bits past the last chunk are ignored.
   *
   * @param bitmap bit {@code i % 8} of byte {@code i / 8} stands for chunk {@code i}
   * @param chunks number of chunks of the manifest
   * @return the map
   */
  public static ChunkMap fromBytes(byte[] bitmap, int chunks) {
    BitSet bits = BitSet.valueOf(bitmap);
    bits.clear(chunks, Math.max(chunks, bits.length()));
    return new ChunkMap(bits, chunks);
  }

  /**
   * Returns the bitmap for sending.
   *
   * @return trailing zero bytes are left out
   */
  public byte[] toBytes() {
    return bits.toByteArray();
  }

  /**
   * Adds a chunk.
   *
   * @param chunk number of the chunk
   * @return false if it was held already
   */
  public boolean add(int chunk) {
    boolean added = !bits.get(chunk);
    bits.set(chunk);
    return added;
  }

  /**
   * Tells whether a chunk is held.
   *
   * @param chunk number of the chunk
   * @return true if it is held
   */
  public boolean holds(int chunk) {
    return bits.get(chunk);
  }

  /**
   * Returns how many chunks are held.
   *
   * @return from 0 to the number of chunks
   */
  public int count() {
    return bits.cardinality();
  }

  /**
   * Tells whether all chunks are held.
   *
   * @return true for a whole copy
   */
  public boolean isWhole() {
    return bits.nextClearBit(0) >= chunks;
  }

  /**
   * Returns the next chunk that is not held.
   *
   * @param from where to begin
   * @return number of the chunk, or -1 if there is none
   */
  public int nextMissing(int from) {
    int next = bits.nextClearBit(from);
    return next < chunks ? next : -1;
  }

  /**
   * Returns the chunks in which two maps differ.
   *
   * @param other map of the same manifest
   * @return the differing bits
   */
  BitSet difference(ChunkMap other) {
    BitSet difference = (BitSet) bits.clone();
    difference.xor(other.bits);
    return difference;
  }
}
