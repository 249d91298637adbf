package org.clementineford.configuration;

import java.util.Map;
import java.util.Set;

/**
 * What the document says at one revision, merged over all sections.
 *
 * @param revision revision of the document; 0 before any document was seen
 * @param models wanted model versions by name of the model
 * @param clientAccounts client accounts by name
 * @param services plain services by name
 * @param joiningVms VMs that are about to join
 * @param leavingVms VMs that must get no new work
 * @param policies limits that hold for the whole system
 */
public record ConfigurationSnapshot(
    long revision,
    Map<String, ModelSpecification> models,
    Map<String, ClientAccount> clientAccounts,
    Map<String, ServiceSpecification> services,
    Set<String> joiningVms,
    Set<String> leavingVms,
    Policies policies) {

  /** Says nothing; in force before any document was seen. */
  public static final ConfigurationSnapshot EMPTY =
      new ConfigurationSnapshot(
          0, Map.of(), Map.of(), Map.of(), Set.of(), Set.of(), Policies.DEFAULT);

  /** Copies the collections. */
  public ConfigurationSnapshot {
    models = Map.copyOf(models);
    clientAccounts = Map.copyOf(clientAccounts);
    services = Map.copyOf(services);
    joiningVms = Set.copyOf(joiningVms);
    leavingVms = Set.copyOf(leavingVms);
  }
}
