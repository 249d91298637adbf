package org.clementineford.configuration;

import java.util.Map;
import java.util.Set;

/**
 * The configuration in one revision of the document, merged from all sections.
 *
 * @param revision revision of the document; 0 if no document was received yet
 * @param models model specifications with the target versions, by model name
 * @param clientAccounts client accounts by name
 * @param services plain services, which are not model engines, by name
 * @param joiningVms VMs that are about to join
 * @param leavingVms VMs that must not receive new work
 * @param policies system-wide limits
 */
public record ConfigurationSnapshot(
    long revision,
    Map<String, ModelSpecification> models,
    Map<String, ClientAccount> clientAccounts,
    Map<String, ServiceSpecification> services,
    Set<String> joiningVms,
    Set<String> leavingVms,
    Policies policies) {

  /** Empty configuration, in force until the first document is received. */
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
