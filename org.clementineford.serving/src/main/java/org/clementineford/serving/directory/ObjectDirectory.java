package org.clementineford.serving.directory;

import java.util.concurrent.CompletableFuture;

/**
 * The platform's object API, read by kind of object. Futures fail with {@code PlatformException}:
 * kind {@code UNAVAILABLE} if the call gave no result, {@code NOT_FOUND} if the platform no longer
 * has the history of changes that a watch needs.
 */
public interface ObjectDirectory {
  /**
   * Lists all objects of a kind.
   *
   * @param kind the kind
   * @param current true to read the current state; false to accept data that is seconds old, which
   *     costs the platform less
   * @return the objects
   */
  CompletableFuture<DirectoryEntries> list(ObjectKind kind, boolean current);

  /**
   * Waits for changes of objects of a kind.
   *
   * @param kind the kind
   * @param revision revision after which changes are returned
   * @param waitMs longest wait in milliseconds, after which the future completes without entries
   * @return the changes
   */
  CompletableFuture<DirectoryEntries> watch(ObjectKind kind, long revision, long waitMs);

  /**
   * Registers this entry VM, so that its peers find it.
   *
   * @param name name of the VM
   * @param address address at which it accepts requests of its peers
   * @param dataCentre its data centre
   * @return future that completes when the platform has accepted the entry
   */
  CompletableFuture<Void> register(String name, String address, String dataCentre);
}
