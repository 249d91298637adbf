package org.clementineford.configuration;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.clementineford.configuration.errors.DocumentException;
import org.clementineford.kernel.DistributionPolicy;

/**
 * Parses and validates the YAML text of a section. Error messages name the section, the line, the
 * value and the remedy.
 */
final class SectionParser {
  private static final int MAX_NESTING = 8;
  private static final int MAX_WEIGHT = 1_000_000;
  private static final long MAX_COST_TOKENS = 100_000_000;
  private static final YAMLFactory YAML =
      YAMLFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING).build())
          .build();
  private static final YAMLMapper MAPPER = new YAMLMapper(YAML);

  static {
    MAPPER.enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);
  }

  private SectionParser() {}

  /**
   * Parses and validates a section.
   *
   * @param section name of the section
   * @param text YAML text
   * @return the parsed content
   * @throws DocumentException kind {@code INVALID_DOCUMENT} if the text is not YAML or does not
   *     match the schema
   */
  static SectionContent parse(String section, String text) throws DocumentException {
    YamlNode root = parseYaml(section, text);
    root.allowOnly("models", "clientAccounts", "services", "vms", "policies");
    Map<String, ModelSpecification> models = new TreeMap<>();
    for (YamlNode node : root.entries("models")) {
      models.put(node.key(), parseModel(node));
    }
    Map<String, ClientAccount> accounts = new TreeMap<>();
    for (YamlNode node : root.entries("clientAccounts")) {
      accounts.put(node.key(), parseAccount(node));
    }
    Map<String, ServiceSpecification> services = new TreeMap<>();
    for (YamlNode node : root.entries("services")) {
      node.allowOnly("costTokens");
      services.put(
          node.key(),
          new ServiceSpecification(
              node.key(), node.wholeNumber("costTokens", 1, MAX_COST_TOKENS, 1L)));
    }
    Set<String> joiningVms = new TreeSet<>();
    Set<String> leavingVms = new TreeSet<>();
    for (YamlNode node : root.childIfPresent("vms")) {
      node.allowOnly("joining", "leaving");
      joiningVms.addAll(node.nameList("joining"));
      leavingVms.addAll(node.nameList("leaving"));
    }
    return new SectionContent(
        models, accounts, services, joiningVms, leavingVms, parsePolicies(root));
  }

  private static YamlNode parseYaml(String section, String text) throws DocumentException {
    try (JsonParser parser = YAML.createParser(text)) {
      parser.setCodec(MAPPER);
      parser.enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);
      return YamlNode.read(section, parser);
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
      String cause = e.getOriginalMessage().lines().findFirst().orElse("invalid YAML");
      throw YamlNode.error(section, line, cause, "correct the YAML at this line");
    } catch (IOException e) {
      throw YamlNode.error(section, 1, String.valueOf(e.getMessage()), "give UTF-8 text");
    }
  }

  private static ModelSpecification parseModel(YamlNode node) throws DocumentException {
    node.allowOnly("version", "policy", "paused");
    String version = node.requiredName("version");
    String policy = node.textOrDefault("policy", DistributionPolicy.SHORTEST_TIME.name());
    Set<String> known = new LinkedHashSet<>();
    for (DistributionPolicy candidate : DistributionPolicy.values()) {
      known.add(candidate.name());
    }
    if (!known.contains(policy)) {
      throw node.invalid("policy", policy, "use one of " + known);
    }
    return new ModelSpecification(
        node.key(), version, DistributionPolicy.valueOf(policy), node.trueOrFalse("paused"));
  }

  private static ClientAccount parseAccount(YamlNode node) throws DocumentException {
    node.allowOnly("weight", "tokenSha256");
    String token = node.requiredName("tokenSha256");
    if (!token.matches("[0-9a-f]{64}")) {
      throw node.invalid(
          "tokenSha256", token, "give the SHA-256 of the token as 64 lower-case hex digits");
    }
    return new ClientAccount(
        node.key(), (int) node.wholeNumber("weight", 1, MAX_WEIGHT, 1L), token);
  }

  private static Map<String, Double> parsePolicies(YamlNode root) throws DocumentException {
    Map<String, Double> values = new TreeMap<>();
    for (YamlNode node : root.childIfPresent("policies")) {
      node.allowOnly(
          "activationShare", "transferLinkShare", "retryBudgetShare", "requestTimeoutMs");
      node.fraction("activationShare", 0.001).ifPresent(v -> values.put("activationShare", v));
      node.fraction("transferLinkShare", 0.01).ifPresent(v -> values.put("transferLinkShare", v));
      node.fraction("retryBudgetShare", 0).ifPresent(v -> values.put("retryBudgetShare", v));
      long timeout = node.wholeNumber("requestTimeoutMs", 1, 3_600_000, -1L);
      if (timeout > 0) {
        values.put("requestTimeoutMs", (double) timeout);
      }
    }
    return values;
  }
}
