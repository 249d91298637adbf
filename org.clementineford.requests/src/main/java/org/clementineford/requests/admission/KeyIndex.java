package org.clementineford.requests.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Index from idempotency keys to the attempts that hold them; each shard has its own lock. */
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

  /**
   * Claims the key for an attempt. Returns the attempt that already holds it, or null if the key is
   * now held by the given attempt.
   */
  Holder claim(Attempt.ScopedKey key, Holder holder) {
    Map<Attempt.ScopedKey, Holder> shard = shard(key);
    synchronized (shard) {
      Holder current = shard.putIfAbsent(key, holder);
      return current == null || current.attemptId().equals(holder.attemptId()) ? null : current;
    }
  }

  /** Releases the key if the attempt holds it. */
  void release(Attempt.ScopedKey key, String attemptId) {
    Map<Attempt.ScopedKey, Holder> shard = shard(key);
    synchronized (shard) {
      Holder current = shard.get(key);
      if (current != null && current.attemptId().equals(attemptId)) {
        shard.remove(key);
      }
    }
  }

  /** Attempt that holds a key; {@code revoked} is true if it was revoked rather than started. */
  record Holder(String attemptId, boolean revoked) {}
}
