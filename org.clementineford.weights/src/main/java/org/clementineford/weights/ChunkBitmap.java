package org.clementineford.weights;

import java.util.BitSet;

/** Bitmap of the chunks of a manifest that a VM holds. Not thread-safe. */
public final class ChunkBitmap {
  private final BitSet bits;
  private final int chunks;

  /**
   * Creates a bitmap without chunks.
   *
   * @param chunks number of chunks of the manifest
   */
  public ChunkBitmap(int chunks) {
    this(new BitSet(chunks), chunks);
  }

  private ChunkBitmap(BitSet bits, int chunks) {
    this.bits = bits;
    this.chunks = chunks;
  }

  /**
   * Decodes a received bitmap. Bits past the last chunk are ignored.
   *
   * @param bitmap bit {@code i % 8} of byte {@code i / 8} represents chunk {@code i}
   * @param chunks number of chunks of the manifest
   * @return the decoded bitmap
   */
  public static ChunkBitmap fromBytes(byte[] bitmap, int chunks) {
    BitSet bits = BitSet.valueOf(bitmap);
    bits.clear(chunks, Math.max(chunks, bits.length()));
    return new ChunkBitmap(bits, chunks);
  }

  /**
   * Encodes the bitmap for sending, in the form that {@link #fromBytes} decodes.
   *
   * @return the bytes, without trailing zero bytes
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
   * Returns whether a chunk is held.
   *
   * @param chunk number of the chunk
   * @return true if it is held
   */
  public boolean holds(int chunk) {
    return bits.get(chunk);
  }

  /**
   * Returns the number of chunks held.
   *
   * @return from 0 to the number of chunks
   */
  public int count() {
    return bits.cardinality();
  }

  /**
   * Returns whether all chunks are held.
   *
   * @return true for a complete copy
   */
  public boolean isComplete() {
    return bits.nextClearBit(0) >= chunks;
  }

  /**
   * Returns the next chunk that is not held.
   *
   * @param from number of the first chunk to check
   * @return number of the chunk, or -1 if there is none
   */
  public int nextMissing(int from) {
    int next = bits.nextClearBit(from);
    return next < chunks ? next : -1;
  }

  /**
   * Returns the chunks that only one of two bitmaps contains.
   *
   * @param other bitmap of the same manifest
   * @return the differing chunks
   */
  BitSet difference(ChunkBitmap other) {
    BitSet difference = (BitSet) bits.clone();
    difference.xor(other.bits);
    return difference;
  }
}
