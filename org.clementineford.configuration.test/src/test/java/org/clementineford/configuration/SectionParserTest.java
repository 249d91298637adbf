package org.clementineford.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.clementineford.configuration.errors.DocumentException;
import org.clementineford.kernel.DistributionPolicy;
import org.clementineford.kernel.errors.ErrorKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SectionParserTest {
  private static ConfigurationSnapshot parse(String text) throws DocumentException {
    DocumentSection section = new DocumentSection("s", "team", 1, "c", text);
    return DocumentValidator.validateAndMerge(new Document(1, Map.of("s", section), null));
  }

  /** Guards against a documented key that the parser does not accept. */
  @Test
  void readsAllKeys() throws Exception {
    ConfigurationSnapshot snapshot =
        parse(
            """
            models:
              assistant: {version: v2, policy: FEWEST_ORIGIN_BYTES, paused: true}
            clientAccounts:
              lorient: {weight: 3, tokenSha256: %s}
            services:
              reservations: {costTokens: 50}
            vms: {joining: [vm-7], leaving: [vm-3]}
            policies: {activationShare: 0.5, requestTimeoutMs: 1000}
            """
                .formatted("ab".repeat(32)));
    assertThat(snapshot.models().get("assistant"))
        .isEqualTo(
            new ModelSpecification(
                "assistant", "v2", DistributionPolicy.FEWEST_ORIGIN_BYTES, true));
    assertThat(snapshot.clientAccounts().get("lorient").weight()).isEqualTo(3);
    assertThat(snapshot.services().get("reservations").costTokens()).isEqualTo(50);
    assertThat(snapshot.leavingVms()).containsExactly("vm-3");
    assertThat(snapshot.policies()).isEqualTo(new Policies(0.5, 0.8, 0.1, 1000));
  }

  /** Guards against accepting invalid sections, and errors without the line and the remedy. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "modelz: {}|line 1|unknown key \"modelz\"|use one of",
        "models:~  a: {version: v1, colour: red}|line 2|unknown key \"colour\" in models.a|policy",
        "models:~  a: {policy: SHORTEST_TIME}|line 2|models.a.version is missing|add version",
        "models:~  a: {version: v1, policy: FAST}|line 2|\"FAST\"|SHORTEST_TIME",
        "models:~  a: {version: v1}~  a: {version: v2}|line 3|uplicate|correct",
        "models: [a|line 1||correct the YAML",
        "models: 5|line 1|models is not a mapping|NAME: VALUE",
        "clientAccounts:~  b: {tokenSha256: xyz}|line 2|\"xyz\"|64 lower-case hex",
        "services:~  r: {costTokens: 0}|line 2|\"0\"|whole number from 1",
        "vms:~  leaving: vm-3|line 2|vms.leaving is not a list|[NAME, NAME]",
        "policies: {activationShare: 2}|line 1|\"2\"|number from"
      })
  void reportsLineAndRemedyOfInvalidSections(
      String text, String line, String problem, String remedy) {
    assertThatThrownBy(() -> parse(text.replace('~', '\n')))
        .isInstanceOf(DocumentException.class)
        .hasMessageContaining("section \"s\", " + line)
        .hasMessageContaining(problem == null ? "" : problem)
        .hasMessageContaining(remedy);
  }

  /** Guards against two sections that define the same name. */
  @Test
  void refusesNameDefinedInTwoSections() {
    String text = "models: {assistant: {version: v1}}";
    Document document =
        new Document(
            2,
            Map.of(
                "a", new DocumentSection("a", "x", 1, "c1", text),
                "b", new DocumentSection("b", "y", 2, "c2", text)),
            null);
    assertThatThrownBy(() -> DocumentValidator.validateAndMerge(document))
        .hasMessageContaining("\"a\" and \"b\"")
        .hasMessageContaining("keep it in one");
  }

  /** Guards against a document that exceeds the platform's size limit. */
  @Test
  void limitsDocumentSize() throws Exception {
    Document document = Document.EMPTY;
    for (int i = 0; i < 9; i++) {
      document = addCommentSection(document, "s" + i, 110_000).document();
    }
    DocumentEdit.Result nearLimit = addCommentSection(document, "small", 10_000);
    assertThat(nearLimit.warnings()).singleElement().asString().contains("1048576 bytes");
    Document full = nearLimit.document();
    assertThatThrownBy(() -> addCommentSection(full, "big", 110_000))
        .hasMessageContaining("The largest sections are")
        .hasMessageContaining("characters")
        .extracting("kind")
        .isEqualTo(ErrorKind.INVALID_DOCUMENT);
  }

  private static DocumentEdit.Result addCommentSection(
      Document document, String section, int length) throws DocumentException {
    String text = "# " + "x".repeat(length);
    return new DocumentEdit("change-" + section, section, "team", 0, text).apply(document, 0);
  }

  /** Guards against accepting a corrupt object as the document. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "not json",
        "null",
        "[]",
        "{\"revision\":1,\"sections\":{\"a\":{\"name\":\"b\",\"revision\":1}}}",
        "{\"revision\":1,\"sections\":{\"a\":{\"name\":\"a\",\"revision\":2}}}"
      })
  void refusesCorruptDocuments(String json) {
    assertThatThrownBy(() -> Document.parse(json.getBytes(StandardCharsets.UTF_8)))
        .isInstanceOf(DocumentException.class)
        .hasMessageContaining("damaged")
        .extracting("kind")
        .isEqualTo(ErrorKind.CORRUPT_DATA);
  }
}
