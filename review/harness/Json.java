package review;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads fields of the product's small JSON bodies. */
final class Json {
  private Json() {}

  static String text(String json, String field) {
    Matcher matcher = Pattern.compile("\"" + field + "\":\"([^\"]*)\"").matcher(json);
    return matcher.find() ? matcher.group(1) : "";
  }

  static long number(String json, String field) {
    Matcher matcher = Pattern.compile("\"" + field + "\":(\\d+)").matcher(json);
    return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
  }

  /** Returns the object in a field; its strings hold no braces. */
  static String object(String json, String field) {
    int from = json.indexOf("{", json.indexOf("\"" + field + "\":"));
    int depth = 0;
    for (int i = from; i < json.length(); i++) {
      depth += json.charAt(i) == '{' ? 1 : json.charAt(i) == '}' ? -1 : 0;
      if (depth == 0) {
        return json.substring(from, i + 1);
      }
    }
    return "{}";
  }
}
