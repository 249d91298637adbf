package org.clementineford.node;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** Objects that one component of a process offers to the components that start after it. */
public final class SharedServices {
  private final Map<Class<?>, Object> services = new ConcurrentHashMap<>();

  /**
   * Offers an object.
   *
   * @param type type under which it is found
   * @param service the object
   * @param <T> type of the object
   * @throws IllegalStateException if the type is offered already
   */
  public <T> void offer(Class<T> type, T service) {
    if (services.putIfAbsent(type, service) != null) {
      throw new IllegalStateException(type.getName() + " is offered twice");
    }
  }

  /**
   * Finds an object.
   *
   * @param type type under which it was offered
   * @param <T> type of the object
   * @return the object
   * @throws IllegalStateException if no component with a lower order offers it
   */
  public <T> T get(Class<T> type) {
    Object service = services.get(type);
    if (service == null) {
      throw new IllegalStateException(
          type.getName() + " is not offered; its component must have a lower order");
    }
    return type.cast(service);
  }

  /**
   * Finds an object that may be absent.
   *
   * @param type type under which it was offered
   * @param <T> type of the object
   * @return the object, or empty if no component offers it
   */
  public <T> Optional<T> find(Class<T> type) {
    return Optional.ofNullable(services.get(type)).map(type::cast);
  }
}
