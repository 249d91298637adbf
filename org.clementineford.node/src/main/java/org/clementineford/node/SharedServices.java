package org.clementineford.node;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** Registry of services that components of a process provide to components that start later. */
public final class SharedServices {
  private final Map<Class<?>, Object> services = new ConcurrentHashMap<>();

  /**
   * Registers a service.
   *
   * @param type type under which the service is found
   * @param service the service
   * @param <T> type of the service
   * @throws IllegalStateException if a service is already registered for the type
   */
  public <T> void register(Class<T> type, T service) {
    if (services.putIfAbsent(type, service) != null) {
      throw new IllegalStateException(type.getName() + " is already registered");
    }
  }

  /**
   * Returns a registered service.
   *
   * @param type type under which the service was registered
   * @param <T> type of the service
   * @return the service
   * @throws IllegalStateException if no component with a lower order registered it
   */
  public <T> T get(Class<T> type) {
    Object service = services.get(type);
    if (service == null) {
      throw new IllegalStateException(
          type.getName() + " is not registered; its component must have a lower order");
    }
    return type.cast(service);
  }

  /**
   * Returns a service that may be absent.
   *
   * @param type type under which the service was registered
   * @param <T> type of the service
   * @return the service, or empty if no component registered it
   */
  public <T> Optional<T> find(Class<T> type) {
    return Optional.ofNullable(services.get(type)).map(type::cast);
  }
}
