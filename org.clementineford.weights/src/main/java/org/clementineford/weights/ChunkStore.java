package org.clementineford.weights;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Store of verified chunks in buffers outside the Java heap, keyed by digest. Equal chunks of
 * several versions are stored once. Thread-safe.
 */
public final class ChunkStore {
  private final long areaBytes;
  private final Map<String, Chunk> chunks = new LinkedHashMap<>();
  private final Map<String, Set<String>> pinned = new HashMap<>();
  private final Map<Integer, ArrayDeque<ByteBuffer>> freeBuffers = new HashMap<>();
  private long allocatedBytes;

  /**
   * Creates an empty store.
   *
   * @param areaBytes maximum number of bytes outside the heap
   */
  public ChunkStore(long areaBytes) {
    this.areaBytes = areaBytes;
  }

  /**
   * Keeps the chunks of a manifest until {@link #unpin}.
   *
   * @param manifest manifest of a version that is being fetched or served
   */
  public synchronized void pin(Manifest manifest) {
    pinned.put(manifest.address(), new HashSet<>(manifest.chunkDigests()));
  }

  /**
   * Allows the chunks of a manifest to be dropped when space is needed.
   *
   * @param manifestAddress content address of the manifest
   */
  public synchronized void unpin(String manifestAddress) {
    pinned.remove(manifestAddress);
  }

  /**
   * Stores a verified chunk. Drops chunks of versions that are not pinned if space is needed.
   *
   * @param digest digest of the chunk, which the caller has verified
   * @param bytes the chunk
   * @return false if the area is full of pinned chunks
   */
  public synchronized boolean put(String digest, byte[] bytes) {
    if (chunks.containsKey(digest)) {
      return true;
    }
    ByteBuffer buffer = allocate(bytes.length);
    if (buffer == null) {
      return false;
    }
    buffer.put(0, bytes);
    chunks.put(digest, new Chunk(buffer, bytes.length));
    return true;
  }

  private ByteBuffer allocate(int length) {
    ArrayDeque<ByteBuffer> reusable = freeBuffers.get(length);
    if (reusable != null && !reusable.isEmpty()) {
      return reusable.poll();
    }
    if (allocatedBytes + length > areaBytes && !makeRoom(length)) {
      return null;
    }
    reusable = freeBuffers.get(length);
    if (reusable != null && !reusable.isEmpty()) {
      return reusable.poll();
    }
    allocatedBytes += length;
    return ByteBuffer.allocateDirect(length);
  }

  private boolean makeRoom(int length) {
    List<String> droppable = new ArrayList<>();
    for (String digest : chunks.keySet()) {
      if (pinned.values().stream().noneMatch(digests -> digests.contains(digest))) {
        droppable.add(digest);
      }
    }
    for (String digest : droppable) {
      Chunk dropped = chunks.remove(digest);
      if (dropped.length == length) {
        freeBuffers.computeIfAbsent(length, key -> new ArrayDeque<>()).add(dropped.buffer);
        return true;
      }
      // A buffer of another size is not reused; the garbage collector frees it.
      allocatedBytes -= dropped.length;
      if (allocatedBytes + length <= areaBytes) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether a chunk is held.
   *
   * @param digest digest of the chunk
   * @return true if it is held
   */
  public synchronized boolean contains(String digest) {
    return chunks.containsKey(digest);
  }

  /**
   * Copies part of a chunk onto the heap.
   *
   * @param digest digest of the chunk
   * @param offset offset of the first byte in the chunk
   * @param length maximum number of bytes
   * @return the bytes, fewer at the end of the chunk; empty if the chunk is not held
   */
  public synchronized Optional<byte[]> read(String digest, int offset, int length) {
    Chunk chunk = chunks.get(digest);
    if (chunk == null) {
      return Optional.empty();
    }
    byte[] bytes = new byte[Math.max(0, Math.min(length, chunk.length - offset))];
    chunk.buffer.get(offset, bytes);
    return Optional.of(bytes);
  }

  /**
   * Returns the memory in use outside the heap.
   *
   * @return bytes of all buffers
   */
  public synchronized long allocatedBytes() {
    return allocatedBytes;
  }

  private record Chunk(ByteBuffer buffer, int length) {}
}
