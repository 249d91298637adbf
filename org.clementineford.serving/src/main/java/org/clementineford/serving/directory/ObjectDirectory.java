package org.clementineford.serving.directory;

import java.util.concurrent.CompletableFuture;

/**
 * The platform's object API, read by kind. Futures fail with {@code PlatformException}: kind {@code
 * UNAVAILABLE} if nothing was learnt, {@code NOT_FOUND} if the history that a watch needs is gone.
 */
public interface ObjectDirectory {
  /**
   * Reads all objects of a kind.
   *
   * @param kind the kind
   * @param current false to accept data that is seconds old, at a lower price
   * @return the objects
   */
  CompletableFuture<Listing> list(ObjectKind kind, boolean current);

  /**
   * Waits for changes.
   *
   * @param kind the kind
   * @param revision revision after which changes count
   * @param waitMs longest wait in milliseconds; the future completes with no entries after it
   * @return the changes
   */
  CompletableFuture<Listing> watch(ObjectKind kind, long revision, long waitMs);

  /**
   * Registers this entry VM for its peers.
   *
   * @param name name of the VM
   * @param address where it answers its peers
   * @return completes when the platform has accepted the entry
   */
  CompletableFuture<Void> register(String name, String address);
}
