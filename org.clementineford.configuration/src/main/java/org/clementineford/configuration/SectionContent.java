package org.clementineford.configuration;

import java.util.Map;
import java.util.Set;

/**
 * Parsed content of one section.
 *
 * @param models models by name
 * @param clientAccounts client accounts by name
 * @param services plain services, which are not model engines, by name
 * @param joiningVms VMs that are about to join
 * @param leavingVms VMs that must not receive new work
 * @param policies policy values by policy name
 */
record SectionContent(
    Map<String, ModelSpecification> models,
    Map<String, ClientAccount> clientAccounts,
    Map<String, ServiceSpecification> services,
    Set<String> joiningVms,
    Set<String> leavingVms,
    Map<String, Double> policies) {}
