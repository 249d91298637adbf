package org.clementineford.requests.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Which attempt holds each idempotency key; in shards, each with its own lock. */
final class KeyIndex {
  private final List<Map<Attempt.ScopedKey, Holder>> shards = new ArrayList<>();

  KeyIndex(int shardCount) {
    for (int i = 0; i < shardCount; i++) {
      shards.add(new HashMap<>());
    }
  }

  private Map<Attempt.ScopedKey, Holder> shard(Attempt.ScopedKey key) {
    return shards.get(Math.floorMod(key.hashCode(), shards.size()));
  }

  /** Claims the key for an attempt; returns the other holder, or null if the attempt has it now. */
  Holder claim(Attempt.ScopedKey key, Holder holder) {
    Map<Attempt.ScopedKey, Holder> shard = shard(key);
    synchronized (shard) {
      Holder current = shard.putIfAbsent(key, holder);
      return current == null || current.attemptId().equals(holder.attemptId()) ? null : current;
    }
  }

  /** Frees the key if the attempt holds it. */
  void release(Attempt.ScopedKey key, String attemptId) {
    Map<Attempt.ScopedKey, Holder> shard = shard(key);
    synchronized (shard) {
      Holder current = shard.get(key);
      if (current != null && current.attemptId().equals(attemptId)) {
        shard.remove(key);
      }
    }
  }

  /** An attempt that holds a key, and whether it was revoked rather than started. */
  record Holder(String attemptId, boolean revoked) {}
}
