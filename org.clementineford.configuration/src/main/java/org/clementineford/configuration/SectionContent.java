package org.clementineford.configuration;

import java.util.Map;
import java.util.Set;

/**
 * What one section says.
 *
 * @param models models by name
 * @param clientAccounts client accounts by name
 * @param services plain services by name
 * @param joiningVms VMs that are about to join
 * @param leavingVms VMs that must get no new work
 * @param policies values by name of the policy
 */
record SectionContent(
    Map<String, ModelSpecification> models,
    Map<String, ClientAccount> clientAccounts,
    Map<String, ServiceSpecification> services,
    Set<String> joiningVms,
    Set<String> leavingVms,
    Map<String, Double> policies) {}
