package org.clementineford.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import org.clementineford.configuration.errors.DocumentException;
import org.clementineford.kernel.errors.ErrorKind;

/** Validates a document and merges its sections; rejects names defined in two sections. */
public final class DocumentValidator {
  private DocumentValidator() {}

  /**
   * Validates all sections and merges them.
   *
   * @param document the document
   * @return the merged configuration
   * @throws DocumentException kind {@code INVALID_DOCUMENT} if a section does not match the schema
   *     or a name is defined in two sections
   */
  public static ConfigurationSnapshot validateAndMerge(Document document) throws DocumentException {
    SnapshotBuilder builder = new SnapshotBuilder();
    for (DocumentSection section : document.presentSections()) {
      builder.add(section.name(), SectionParser.parse(section.name(), section.text()));
    }
    return builder.snapshot(document.revision());
  }

  private static final class SnapshotBuilder {
    private final Map<String, String> sectionByName = new HashMap<>();
    private final Map<String, ModelSpecification> models = new TreeMap<>();
    private final Map<String, ClientAccount> accounts = new TreeMap<>();
    private final Map<String, ServiceSpecification> services = new TreeMap<>();
    private final Set<String> joining = new TreeSet<>();
    private final Set<String> leaving = new TreeSet<>();
    private final Map<String, Double> policies = new TreeMap<>();

    void add(String section, SectionContent content) throws DocumentException {
      models.putAll(define("model", section, content.models()));
      accounts.putAll(define("client account", section, content.clientAccounts()));
      services.putAll(define("service", section, content.services()));
      policies.putAll(define("policy", section, content.policies()));
      joining.addAll(content.joiningVms());
      leaving.addAll(content.leavingVms());
    }

    private <T> Map<String, T> define(String kind, String section, Map<String, T> values)
        throws DocumentException {
      for (String name : values.keySet()) {
        String other = sectionByName.putIfAbsent(kind + " " + name, section);
        if (other != null) {
          throw new DocumentException(
              ErrorKind.INVALID_DOCUMENT,
              kind
                  + " \""
                  + name
                  + "\" is defined in the sections \""
                  + other
                  + "\" and \""
                  + section
                  + "\"; keep it in one of them");
        }
      }
      return values;
    }

    ConfigurationSnapshot snapshot(long revision) {
      Function<String, Double> policy = policies::get;
      Policies defaults = Policies.DEFAULT;
      Policies merged =
          new Policies(
              orDefault(policy.apply("activationShare"), defaults.activationShare()),
              orDefault(policy.apply("transferLinkShare"), defaults.transferLinkShare()),
              orDefault(policy.apply("retryBudgetShare"), defaults.retryBudgetShare()),
              (long) orDefault(policy.apply("requestTimeoutMs"), defaults.requestTimeoutMs()));
      return new ConfigurationSnapshot(
          revision, models, accounts, services, joining, leaving, merged);
    }

    private static double orDefault(Double value, double defaultValue) {
      return value == null ? defaultValue : value;
    }
  }
}
