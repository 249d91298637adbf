package org.clementineford.standins.internal;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Batch of running requests, and the queue of requests that wait for a slot, urgent ones first. */
public final class EngineBatch {
  private final int slots;
  private final Consumer<EngineRequest> starter;
  private final Set<EngineRequest> running = new HashSet<>();
  private final ArrayDeque<EngineRequest> urgent = new ArrayDeque<>();
  private final ArrayDeque<EngineRequest> normal = new ArrayDeque<>();

  /**
   * Creates an empty batch.
   *
   * @param slots number of requests that run concurrently
   * @param starter starts a request that got a slot
   */
  public EngineBatch(int slots, Consumer<EngineRequest> starter) {
    this.slots = slots;
    this.starter = starter;
  }

  /**
   * Starts a request, or queues it if all slots are taken.
   *
   * @param request the request
   */
  public void submit(EngineRequest request) {
    synchronized (this) {
      if (running.size() >= slots) {
        (request.urgent() ? urgent : normal).add(request);
        return;
      }
      running.add(request);
    }
    starter.accept(request);
  }

  /**
   * Removes a request that ended or was abandoned, and starts the next one in its slot.
   *
   * @param request the request
   * @return false if it was already removed
   */
  public boolean remove(EngineRequest request) {
    EngineRequest next = null;
    synchronized (this) {
      if (!running.remove(request)) {
        return urgent.remove(request) || normal.remove(request);
      }
      next = urgent.isEmpty() ? normal.poll() : urgent.poll();
      if (next != null) {
        running.add(next);
      }
    }
    if (next != null) {
      starter.accept(next);
    }
    return true;
  }

  /**
   * Finds a running or queued request.
   *
   * @param requestId request ID that the caller sent
   * @return the request, or null if there is none
   */
  public synchronized EngineRequest find(String requestId) {
    return Stream.of(running, urgent, normal)
        .flatMap(Collection::stream)
        .filter(request -> request.requestId().equals(requestId))
        .findFirst()
        .orElse(null);
  }

  /**
   * Returns the number of requests in the batch.
   *
   * @return at most the number of slots
   */
  public synchronized int running() {
    return running.size();
  }

  /**
   * Returns the number of requests that wait for a slot.
   *
   * @return number of urgent and normal requests
   */
  public synchronized int queued() {
    return urgent.size() + normal.size();
  }
}
