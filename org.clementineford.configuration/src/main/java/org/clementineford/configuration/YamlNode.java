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

/** A value of a section with the line on which it starts. */
final class YamlNode {
  private static final int MAX_NAME_LENGTH = 128;
  private static final int MAX_SHOWN = 60;

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
      throw error(section, line(parser), "a second YAML document", "keep one document");
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

  static DocumentException error(String section, int line, String what, String remedy) {
    return new DocumentException(
        ErrorKind.INVALID_DOCUMENT,
        "section \"" + section + "\", line " + line + ": " + what + "; " + remedy);
  }

  String key() {
    return path.substring(path.indexOf('.') + 1);
  }

  DocumentException invalid(String name, String value, String remedy) {
    YamlNode child = children.get(name);
    int at = child == null ? line : child.line;
    return error(section, at, path + "." + name + " has the value " + shown(value), remedy);
  }

  private static String shown(String value) {
    String text = value.length() > MAX_SHOWN ? value.substring(0, MAX_SHOWN) + "..." : value;
    return "\"" + text + "\"";
  }

  private void requireMapping() throws DocumentException {
    if (kind != JsonToken.START_OBJECT) {
      String where = path.isEmpty() ? "the section" : path;
      throw error(section, line, where + " is not a mapping", "write NAME: VALUE lines");
    }
  }

  void allowOnly(String... names) throws DocumentException {
    requireMapping();
    Set<String> known = new TreeSet<>(List.of(names));
    for (Map.Entry<String, YamlNode> child : children.entrySet()) {
      if (!known.contains(child.getKey())) {
        String where = path.isEmpty() ? "" : " in " + path;
        throw error(
            section,
            child.getValue().line,
            "unknown key " + shown(child.getKey()) + where,
            "use one of " + known);
      }
    }
  }

  List<YamlNode> child(String name) {
    YamlNode child = children.get(name);
    return child == null || child.kind == JsonToken.VALUE_NULL ? List.of() : List.of(child);
  }

  List<YamlNode> entries(String name) throws DocumentException {
    List<YamlNode> entries = new ArrayList<>();
    for (YamlNode child : child(name)) {
      child.requireMapping();
      for (Map.Entry<String, YamlNode> entry : child.children.entrySet()) {
        checkName(entry.getKey(), entry.getValue().line);
        entries.add(entry.getValue());
      }
    }
    return entries;
  }

  private void checkName(String name, int at) throws DocumentException {
    if (name.isBlank() || name.length() > MAX_NAME_LENGTH) {
      throw error(section, at, "name " + shown(name) + " is not valid", "use 1 to 128 characters");
    }
  }

  private String scalar(String name, String remedy) throws DocumentException {
    YamlNode child = children.get(name);
    if (child == null || child.kind == JsonToken.VALUE_NULL) {
      return null;
    }
    if (child.scalar == null) {
      throw error(section, child.line, child.path + " is not a single value", remedy);
    }
    return child.scalar;
  }

  String name(String key) throws DocumentException {
    String value = scalar(key, "give a name");
    if (value == null) {
      throw error(section, line, path + "." + key + " is missing", "add " + key + ": NAME");
    }
    checkName(value, children.get(key).line);
    return value;
  }

  String text(String key, String fallback) throws DocumentException {
    String value = scalar(key, "give one word");
    return value == null ? fallback : value;
  }

  boolean flag(String key) throws DocumentException {
    String value = text(key, "false");
    if (!value.equals("true") && !value.equals("false")) {
      throw invalid(key, value, "give true or false");
    }
    return value.equals("true");
  }

  long wholeNumber(String key, long lowest, long highest, long fallback) throws DocumentException {
    String remedy = "give a whole number from " + lowest + " to " + highest;
    String text = scalar(key, remedy);
    if (text == null) {
      return fallback;
    }
    try {
      long value = Long.parseLong(text);
      if (value >= lowest && value <= highest) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Reported below together with values out of range.
    }
    throw invalid(key, text, remedy);
  }

  Optional<Double> share(String key, double lowest) throws DocumentException {
    String remedy = "give a number from " + lowest + " to 1";
    String text = scalar(key, remedy);
    if (text == null) {
      return Optional.empty();
    }
    try {
      double value = Double.parseDouble(text);
      if (value >= lowest && value <= 1) {
        return Optional.of(value);
      }
    } catch (NumberFormatException e) {
      // Reported below together with values out of range.
    }
    throw invalid(key, text, remedy);
  }

  Set<String> names(String key) throws DocumentException {
    Set<String> names = new TreeSet<>();
    for (YamlNode list : child(key)) {
      if (list.kind != JsonToken.START_ARRAY) {
        throw error(section, list.line, list.path + " is not a list", "write [NAME, NAME]");
      }
      for (YamlNode item : list.items) {
        if (item.scalar == null) {
          throw error(section, item.line, list.path + " holds a non-name", "write [NAME, NAME]");
        }
        checkName(item.scalar, item.line);
        names.add(item.scalar);
      }
    }
    return names;
  }
}
