package org.clementineford.endpoint.internal.weights;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.clementineford.endpoint.ServedVersions;

/** Versions that the engines of this VM have loaded completely. */
final class PublishedVersions implements ServedVersions {
  private final Map<String, ServedVersion> current = new ConcurrentHashMap<>();
  private final List<Consumer<ServedVersion>> listeners = new CopyOnWriteArrayList<>();

  void publish(ServedVersion version) {
    current.put(version.model(), version);
    listeners.forEach(listener -> listener.accept(version));
  }

  @Override
  public Optional<ServedVersion> current(String model) {
    return Optional.ofNullable(current.get(model));
  }

  @Override
  public void onChange(Consumer<ServedVersion> listener) {
    listeners.add(listener);
  }
}
