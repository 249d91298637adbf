package org.clementineford.endpoint.internal.requests;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.clementineford.endpoint.ServedVersions;
import org.clementineford.endpoint.ServedVersions.ServedVersion;

/** All versions that this daemon activated, the current and the earlier ones. */
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

  /** An answer that began before an activation may still come from the version before it. */
  boolean contains(String model, String version, String digest) {
    ServedVersion answered = new ServedVersion(model, version, digest);
    return activated.contains(answered) || current(model).filter(answered::equals).isPresent();
  }
}
