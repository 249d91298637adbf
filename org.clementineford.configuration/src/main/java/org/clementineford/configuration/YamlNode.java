package org.clementineford.configuration;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.clementineford.configuration.errors.DocumentException;
import org.clementineford.kernel.errors.ErrorKind;

/** A YAML value of a section, with its path and the line on which it starts. */
final class YamlNode {
  private static final int MAX_NAME_LENGTH = 128;
  private static final int MAX_QUOTED_LENGTH = 60;

  private final String section;
  private final String path;
  private final int line;
  private final Map<String, YamlNode> children = new LinkedHashMap<>();
  private final List<YamlNode> items = new ArrayList<>();
  private String scalar;
  private JsonToken kind;

  private YamlNode(String section, String path, int line) {
    this.section = section;
    this.path = path;
    this.line = line;
  }

  static YamlNode read(String section, JsonParser parser) throws IOException, DocumentException {
    JsonToken first = parser.nextToken();
    YamlNode root = new YamlNode(section, "", 1);
    if (first == null || first == JsonToken.VALUE_NULL) {
      root.kind = JsonToken.START_OBJECT;
      return root;
    }
    root.fill(parser);
    if (parser.nextToken() != null) {
      throw error(
          section, line(parser), "the section contains a second YAML document", "keep only one");
    }
    root.requireMapping();
    return root;
  }

  private static int line(JsonParser parser) {
    return parser.currentTokenLocation().getLineNr();
  }

  private void fill(JsonParser parser) throws IOException {
    kind = parser.currentToken();
    if (kind == JsonToken.START_OBJECT) {
      while (parser.nextToken() != JsonToken.END_OBJECT) {
        String name = parser.currentName();
        YamlNode child =
            new YamlNode(section, path.isEmpty() ? name : path + "." + name, line(parser));
        parser.nextToken();
        child.fill(parser);
        children.put(name, child);
      }
    } else if (kind == JsonToken.START_ARRAY) {
      while (parser.nextToken() != JsonToken.END_ARRAY) {
        YamlNode item = new YamlNode(section, path, line(parser));
        item.fill(parser);
        items.add(item);
      }
    } else {
      scalar = parser.getText();
    }
  }

  static DocumentException error(String section, int line, String problem, String remedy) {
    return new DocumentException(
        ErrorKind.INVALID_DOCUMENT,
        "section \"" + section + "\", line " + line + ": " + problem + "; " + remedy);
  }

  String key() {
    return path.substring(path.indexOf('.') + 1);
  }

  DocumentException invalid(String name, String value, String remedy) {
    YamlNode child = children.get(name);
    int errorLine = child == null ? line : child.line;
    return error(section, errorLine, path + "." + name + " has the value " + quoted(value), remedy);
  }

  private static String quoted(String value) {
    String text =
        value.length() > MAX_QUOTED_LENGTH ? value.substring(0, MAX_QUOTED_LENGTH) + "..." : value;
    return "\"" + text + "\"";
  }

  private void requireMapping() throws DocumentException {
    if (kind != JsonToken.START_OBJECT) {
      String location = path.isEmpty() ? "the section" : path;
      throw error(section, line, location + " is not a mapping", "write NAME: VALUE lines");
    }
  }

  void allowOnly(String... names) throws DocumentException {
    requireMapping();
    Set<String> known = new TreeSet<>(List.of(names));
    for (Map.Entry<String, YamlNode> child : children.entrySet()) {
      if (!known.contains(child.getKey())) {
        String location = path.isEmpty() ? "" : " in " + path;
        throw error(
            section,
            child.getValue().line,
            "unknown key " + quoted(child.getKey()) + location,
            "use one of " + known);
      }
    }
  }

  List<YamlNode> childIfPresent(String name) {
    YamlNode child = children.get(name);
    return child == null || child.kind == JsonToken.VALUE_NULL ? List.of() : List.of(child);
  }

  List<YamlNode> entries(String name) throws DocumentException {
    List<YamlNode> entries = new ArrayList<>();
    for (YamlNode child : childIfPresent(name)) {
      child.requireMapping();
      for (Map.Entry<String, YamlNode> entry : child.children.entrySet()) {
        checkName(entry.getKey(), entry.getValue().line);
        entries.add(entry.getValue());
      }
    }
    return entries;
  }

  private void checkName(String name, int nameLine) throws DocumentException {
    if (name.isBlank() || name.length() > MAX_NAME_LENGTH) {
      throw error(
          section, nameLine, "name " + quoted(name) + " is not valid", "use 1 to 128 characters");
    }
  }

  private String scalarOrNull(String name, String remedy) throws DocumentException {
    YamlNode child = children.get(name);
    if (child == null || child.kind == JsonToken.VALUE_NULL) {
      return null;
    }
    if (child.scalar == null) {
      throw error(section, child.line, child.path + " is not a single value", remedy);
    }
    return child.scalar;
  }

  String requiredName(String key) throws DocumentException {
    String value = scalarOrNull(key, "give a name");
    if (value == null) {
      throw error(section, line, path + "." + key + " is missing", "add " + key + ": NAME");
    }
    checkName(value, children.get(key).line);
    return value;
  }

  String textOrDefault(String key, String defaultValue) throws DocumentException {
    String value = scalarOrNull(key, "give one word");
    return value == null ? defaultValue : value;
  }

  boolean trueOrFalse(String key) throws DocumentException {
    String value = textOrDefault(key, "false");
    if (!value.equals("true") && !value.equals("false")) {
      throw invalid(key, value, "give true or false");
    }
    return value.equals("true");
  }

  long wholeNumber(String key, long minimum, long maximum, long defaultValue)
      throws DocumentException {
    String remedy = "give a whole number from " + minimum + " to " + maximum;
    String text = scalarOrNull(key, remedy);
    if (text == null) {
      return defaultValue;
    }
    try {
      long value = Long.parseLong(text);
      if (value >= minimum && value <= maximum) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Reported below, like a value out of range.
    }
    throw invalid(key, text, remedy);
  }

  Optional<Double> fraction(String key, double minimum) throws DocumentException {
    String remedy = "give a number from " + minimum + " to 1";
    String text = scalarOrNull(key, remedy);
    if (text == null) {
      return Optional.empty();
    }
    try {
      double value = Double.parseDouble(text);
      if (value >= minimum && value <= 1) {
        return Optional.of(value);
      }
    } catch (NumberFormatException e) {
      // Reported below, like a value out of range.
    }
    throw invalid(key, text, remedy);
  }

  Set<String> nameList(String key) throws DocumentException {
    Set<String> names = new TreeSet<>();
    for (YamlNode list : childIfPresent(key)) {
      if (list.kind != JsonToken.START_ARRAY) {
        throw error(section, list.line, list.path + " is not a list", "write [NAME, NAME]");
      }
      for (YamlNode item : list.items) {
        if (item.scalar == null) {
          throw error(
              section,
              item.line,
              list.path + " contains an item that is not a name",
              "write [NAME, NAME]");
        }
        checkName(item.scalar, item.line);
        names.add(item.scalar);
      }
    }
    return names;
  }
}
