package org.clementineford.daemons;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.clementineford.transport.http.HttpResponse;

/** Writes answers down without ports, times, identities and digests, which vary between runs. */
final class Transcript {
  private static final ObjectMapper JSON =
      new ObjectMapper().enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS);

  private final StringBuilder text = new StringBuilder();
  private final Map<String, String> digests;

  Transcript(Map<String, String> digests) {
    this.digests = digests;
  }

  void add(String step, HttpResponse answer) {
    text.append("== ").append(step).append('\n').append(answer.status()).append('\n');
    new TreeMap<>(answer.headers())
        .forEach(
            (name, value) -> {
              String lower = name.toLowerCase(Locale.ROOT);
              if (lower.startsWith("clementineford-")
                  || lower.equals("content-type")
                  || lower.equals("retry-after")) {
                text.append(lower).append(": ").append(normal(value)).append('\n');
              }
            });
    text.append(normal(sorted(new String(answer.body(), StandardCharsets.UTF_8)).strip()));
    text.append("\n\n");
  }

  void add(String step, String lines) {
    text.append("== ").append(step).append('\n').append(normal(lines)).append("\n\n");
  }

  private static String sorted(String body) {
    try {
      return JSON.writerWithDefaultPrettyPrinter()
          .writeValueAsString(JSON.readValue(body, Object.class));
    } catch (JsonProcessingException e) {
      return body;
    }
  }

  private String normal(String value) {
    String normal = value;
    for (Map.Entry<String, String> digest : digests.entrySet()) {
      normal = normal.replace(digest.getValue(), "<digest of " + digest.getKey() + ">");
    }
    return normal
        .replaceAll("127\\.0\\.0\\.1:\\d+", "<address>")
        .replaceAll("entry-(\\d)-[a-z0-9]+-[a-z0-9]+", "<request of entry-$1>")
        .replaceAll("\\b1[0-9]{12}\\b", "<time>");
  }

  @Override
  public String toString() {
    return text.toString().strip() + "\n";
  }
}
