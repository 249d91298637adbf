package org.clementineford.endpoint.internal.requests;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.clementineford.endpoint.ServedVersions;
import org.clementineford.endpoint.ServedVersions.ServedVersion;

/** All model versions that this daemon has activated, current and earlier ones. */
final class ActivatedVersions {
  private final ServedVersions served;
  private final Set<ServedVersion> activated = ConcurrentHashMap.newKeySet();

  ActivatedVersions(ServedVersions served) {
    this.served = served;
    served.onChange(activated::add);
  }

  Optional<ServedVersion> current(String model) {
    Optional<ServedVersion> current = served.current(model);
    current.ifPresent(activated::add);
    return current;
  }

  /**
   * Returns whether this daemon has activated a version. Includes earlier versions, because an
   * answer that began before an activation may still come from the previous version.
   */
  boolean contains(String model, String version, String digest) {
    ServedVersion answered = new ServedVersion(model, version, digest);
    return activated.contains(answered) || current(model).filter(answered::equals).isPresent();
  }
}
