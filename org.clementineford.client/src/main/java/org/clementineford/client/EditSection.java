package org.clementineford.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.util.LinkedHashMap;
import java.util.Map;
import org.clementineford.configuration.Document;
import org.clementineford.configuration.DocumentSection;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;

/** Sets single values in the stored text of a section. */
public final class EditSection {
  private static final YAMLMapper YAML =
      YAMLMapper.builder().disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER).build();

  private final EntryConnection connection;
  private final Map<String, String> values = new LinkedHashMap<>();
  private final ApplySection apply;
  private String section = "";

  /**
   * Creates the command.
   *
   * @param connection connection to entry VMs
   */
  public EditSection(EntryConnection connection) {
    this.connection = connection;
    this.apply = new ApplySection(connection);
  }

  /**
   * Sets the section.
   *
   * @param name name of the section
   * @return this command
   */
  public EditSection setSection(String name) {
    this.section = name;
    apply.setSection(name);
    return this;
  }

  /**
   * Sets the team that makes the change.
   *
   * @param name name of the team
   * @return this command
   */
  public EditSection setTeam(String name) {
    apply.setTeam(name);
    return this;
  }

  /**
   * Sets a value.
   *
   * @param path keys separated by dots, for example {@code models.assistant.version}
   * @param yaml the value as YAML
   * @return this command
   */
  public EditSection setValue(String path, String yaml) {
    values.put(path, yaml);
    return this;
  }

  /**
   * Makes the change. Comments in the section are lost.
   *
   * @return the result
   * @throws ClementinefordException as {@link ApplySection#call}
   */
  public ApplyResult call() throws ClementinefordException {
    Document stored = new ReadDocument(connection).setSource(DocumentSource.STORED).call();
    DocumentSection existing = stored.sections().get(section);
    if (existing == null || existing.isRemoved()) {
      throw new ClementinefordException(
          ErrorKind.NOT_FOUND,
          "section \"" + section + "\" does not exist; create it with document apply");
    }
    try {
      ObjectNode root =
          YAML.readTree(existing.text()) instanceof ObjectNode mapping
              ? mapping
              : YAML.createObjectNode();
      for (Map.Entry<String, String> value : values.entrySet()) {
        set(root, value.getKey(), YAML.readTree(value.getValue()));
      }
      return apply
          .setText(YAML.writeValueAsString(root))
          .setBaseRevision(existing.revision())
          .call();
    } catch (JsonProcessingException e) {
      throw new ClementinefordException(
          ErrorKind.INVALID_DOCUMENT,
          "a value or the section is not YAML (" + e.getOriginalMessage() + "); correct it",
          e);
    }
  }

  private static void set(ObjectNode root, String path, JsonNode value) {
    String[] keys = path.split("\\.");
    ObjectNode node = root;
    for (int i = 0; i + 1 < keys.length; i++) {
      node = node.get(keys[i]) instanceof ObjectNode child ? child : node.putObject(keys[i]);
    }
    node.set(keys[keys.length - 1], value);
  }
}
