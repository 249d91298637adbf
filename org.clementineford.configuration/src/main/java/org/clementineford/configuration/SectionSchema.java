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

/** Checks the YAML text of a section. Errors name section, line, value and remedy. */
final class SectionSchema {
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

  private SectionSchema() {}

  /**
   * Parses a section.
   *
   * @param section name of the section
   * @param text YAML text
   * @return what it says
   * @throws DocumentException kind {@code INVALID_DOCUMENT}
   */
  static SectionContent parse(String section, String text) throws DocumentException {
    YamlNode root = read(section, text);
    root.allowOnly("models", "clientAccounts", "services", "vms", "policies");
    Map<String, ModelSpecification> models = new TreeMap<>();
    for (YamlNode node : root.entries("models")) {
      models.put(node.key(), model(node));
    }
    Map<String, ClientAccount> accounts = new TreeMap<>();
    for (YamlNode node : root.entries("clientAccounts")) {
      accounts.put(node.key(), account(node));
    }
    Map<String, ServiceSpecification> services = new TreeMap<>();
    for (YamlNode node : root.entries("services")) {
      node.allowOnly("costTokens");
      services.put(
          node.key(),
          new ServiceSpecification(
              node.key(), node.wholeNumber("costTokens", 1, MAX_COST_TOKENS, 1L)));
    }
    Set<String> joining = new TreeSet<>();
    Set<String> leaving = new TreeSet<>();
    for (YamlNode node : root.child("vms")) {
      node.allowOnly("joining", "leaving");
      joining.addAll(node.names("joining"));
      leaving.addAll(node.names("leaving"));
    }
    return new SectionContent(models, accounts, services, joining, leaving, policies(root));
  }

  private static YamlNode read(String section, String text) throws DocumentException {
    try (JsonParser parser = YAML.createParser(text)) {
      parser.setCodec(MAPPER);
      parser.enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);
      return YamlNode.read(section, parser);
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
      String cause = e.getOriginalMessage().lines().findFirst().orElse("not YAML");
      throw YamlNode.error(section, line, cause, "correct the YAML at this line");
    } catch (IOException e) {
      throw YamlNode.error(section, 1, String.valueOf(e.getMessage()), "give UTF-8 text");
    }
  }

  private static ModelSpecification model(YamlNode node) throws DocumentException {
    node.allowOnly("version", "policy", "paused");
    String version = node.name("version");
    String policy = node.text("policy", DistributionPolicy.SHORTEST_TIME.name());
    Set<String> known = new LinkedHashSet<>();
    for (DistributionPolicy candidate : DistributionPolicy.values()) {
      known.add(candidate.name());
    }
    if (!known.contains(policy)) {
      throw node.invalid("policy", policy, "use one of " + known);
    }
    return new ModelSpecification(
        node.key(), version, DistributionPolicy.valueOf(policy), node.flag("paused"));
  }

  private static ClientAccount account(YamlNode node) throws DocumentException {
    node.allowOnly("weight", "tokenSha256");
    String token = node.name("tokenSha256");
    if (!token.matches("[0-9a-f]{64}")) {
      throw node.invalid(
          "tokenSha256", token, "give the SHA-256 of the token as 64 lower-case hex digits");
    }
    return new ClientAccount(
        node.key(), (int) node.wholeNumber("weight", 1, MAX_WEIGHT, 1L), token);
  }

  private static Map<String, Double> policies(YamlNode root) throws DocumentException {
    Map<String, Double> values = new TreeMap<>();
    for (YamlNode node : root.child("policies")) {
      node.allowOnly(
          "activationShare", "transferLinkShare", "retryBudgetShare", "requestTimeoutMs");
      node.share("activationShare", 0.001).ifPresent(v -> values.put("activationShare", v));
      node.share("transferLinkShare", 0.01).ifPresent(v -> values.put("transferLinkShare", v));
      node.share("retryBudgetShare", 0).ifPresent(v -> values.put("retryBudgetShare", v));
      long timeout = node.wholeNumber("requestTimeoutMs", 1, 3_600_000, -1L);
      if (timeout > 0) {
        values.put("requestTimeoutMs", (double) timeout);
      }
    }
    return values;
  }
}
