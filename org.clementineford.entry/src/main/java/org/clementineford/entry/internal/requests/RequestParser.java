package org.clementineford.entry.internal.requests;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.clementineford.configuration.ClientAccount;
import org.clementineford.configuration.ConfigurationSnapshot;
import org.clementineford.configuration.ModelSpecification;
import org.clementineford.configuration.ServiceSpecification;
import org.clementineford.requests.attempts.EntryRefusal;
import org.clementineford.requests.routing.BackEndId;
import org.clementineford.transport.http.HttpRequest;

/** Parses and validates the HTTP requests of callers. */
final class RequestParser {
  private static final String CHAT_PATH = "/v1/chat/completions";
  private static final String SERVICE_PREFIX = "/services/";
  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final long DEFAULT_OUTPUT_TOKENS = 256;
  private static final int PREFIX_CHARACTERS = 256;
  private static final int MAX_KEY_LENGTH = 256;
  private static final long MAX_TIMEOUT_MS = 3_600_000;
  private static final Set<String> FORWARDED_HEADERS =
      Set.of("content-type", "accept", "idempotency-key");

  private final ObjectMapper json = new ObjectMapper();

  /** Thrown if a request is invalid or names something that this entry VM does not serve. */
  static final class Rejection extends Exception {
    private static final long serialVersionUID = 1L;
    private final EntryRefusal refusal;

    Rejection(EntryRefusal refusal, String detail) {
      super(detail);
      this.refusal = refusal;
    }

    EntryRefusal refusal() {
      return refusal;
    }
  }

  CallerRequest parse(
      String requestId,
      HttpRequest request,
      ClientAccount account,
      ConfigurationSnapshot configuration)
      throws Rejection {
    String key = request.header("Idempotency-Key");
    if (key != null && (key.isEmpty() || key.length() > MAX_KEY_LENGTH)) {
      throw new Rejection(
          EntryRefusal.BAD_REQUEST,
          "Idempotency-Key must have 1 to " + MAX_KEY_LENGTH + " characters");
    }
    if (request.path().equals(CHAT_PATH)) {
      return parseChat(requestId, request, account, configuration, key);
    }
    if (request.path().startsWith(SERVICE_PREFIX)) {
      return parseService(requestId, request, account, configuration, key);
    }
    throw new Rejection(EntryRefusal.NOT_FOUND, "path " + request.path());
  }

  private CallerRequest parseChat(
      String requestId,
      HttpRequest request,
      ClientAccount account,
      ConfigurationSnapshot configuration,
      String key)
      throws Rejection {
    if (!request.method().equals("POST")) {
      throw new Rejection(EntryRefusal.BAD_REQUEST, CHAT_PATH + " accepts POST only");
    }
    JsonNode body = readJson(request.body());
    String modelName = body.path("model").asText("");
    ModelSpecification model = configuration.models().get(modelName);
    if (model == null) {
      throw new Rejection(EntryRefusal.NOT_FOUND, "model \"" + modelName + "\"");
    }
    String prompt = prompt(body);
    long outputTokens = Math.max(1, body.path("max_tokens").asLong(DEFAULT_OUTPUT_TOKENS));
    return new CallerRequest(
        requestId,
        account.name(),
        key,
        digest(request),
        isIdempotent(request, true),
        isUrgent(request),
        prompt.length() / CHARACTERS_PER_TOKEN + outputTokens,
        timeoutMs(request, configuration),
        new BackEndId(model.name(), model.version()),
        "POST",
        CHAT_PATH,
        forwardedHeaders(request),
        request.body(),
        body.path("stream").asBoolean(false),
        prefixHash(prompt));
  }

  private CallerRequest parseService(
      String requestId,
      HttpRequest request,
      ClientAccount account,
      ConfigurationSnapshot configuration,
      String key)
      throws Rejection {
    String remainder = request.target().substring(SERVICE_PREFIX.length());
    int end = 0;
    while (end < remainder.length()
        && remainder.charAt(end) != '/'
        && remainder.charAt(end) != '?') {
      end++;
    }
    String name = remainder.substring(0, end);
    ServiceSpecification service = configuration.services().get(name);
    if (service == null) {
      throw new Rejection(EntryRefusal.NOT_FOUND, "service \"" + name + "\"");
    }
    String path = remainder.substring(end);
    boolean safe = request.method().equals("GET") || request.method().equals("HEAD");
    return new CallerRequest(
        requestId,
        account.name(),
        key,
        digest(request),
        isIdempotent(request, safe),
        isUrgent(request),
        service.costTokens(),
        timeoutMs(request, configuration),
        new BackEndId(service.name(), null),
        request.method(),
        path.startsWith("/") ? path : "/" + path,
        forwardedHeaders(request),
        request.body(),
        false,
        null);
  }

  private JsonNode readJson(byte[] body) throws Rejection {
    try {
      JsonNode node = json.readTree(body);
      if (node != null && node.isObject()) {
        return node;
      }
    } catch (IOException e) {
      // Rejected below, like JSON that is not an object.
    }
    throw new Rejection(EntryRefusal.BAD_REQUEST, "the body must be a JSON object");
  }

  private static String prompt(JsonNode body) {
    StringBuilder text = new StringBuilder();
    for (JsonNode message : body.path("messages")) {
      text.append(message.path("content").asText(""));
    }
    return text.toString();
  }

  private static String prefixHash(String prompt) {
    // For a shorter prompt, reusing the prefix is not worth an uneven load.
    if (prompt.length() < PREFIX_CHARACTERS) {
      return null;
    }
    byte[] prefix = prompt.substring(0, PREFIX_CHARACTERS).getBytes(StandardCharsets.UTF_8);
    return Accounts.sha256Hex(prefix).substring(0, 16);
  }

  private static String digest(HttpRequest request) {
    String head = request.method() + " " + request.target() + "\n";
    return Accounts.sha256Hex(head.getBytes(StandardCharsets.UTF_8), request.body());
  }

  private static boolean isIdempotent(HttpRequest request, boolean defaultValue) throws Rejection {
    String value = request.header("Clementineford-Idempotent");
    if (value == null) {
      return defaultValue;
    }
    if (value.equals("true") || value.equals("false")) {
      return value.equals("true");
    }
    throw new Rejection(
        EntryRefusal.BAD_REQUEST, "Clementineford-Idempotent must be true or false");
  }

  private static boolean isUrgent(HttpRequest request) throws Rejection {
    String value = request.header("Clementineford-Priority");
    if (value == null || value.equals("normal")) {
      return false;
    }
    if (value.equals("urgent")) {
      return true;
    }
    throw new Rejection(
        EntryRefusal.BAD_REQUEST, "Clementineford-Priority must be urgent or normal");
  }

  private static long timeoutMs(HttpRequest request, ConfigurationSnapshot configuration)
      throws Rejection {
    String value = request.header("Clementineford-Timeout-Ms");
    if (value == null) {
      return configuration.policies().requestTimeoutMs();
    }
    try {
      long timeout = Long.parseLong(value.trim());
      if (timeout > 0 && timeout <= MAX_TIMEOUT_MS) {
        return timeout;
      }
    } catch (NumberFormatException e) {
      // Rejected below, like a number out of range.
    }
    throw new Rejection(
        EntryRefusal.BAD_REQUEST,
        "Clementineford-Timeout-Ms must be a number from 1 to " + MAX_TIMEOUT_MS);
  }

  private static Map<String, String> forwardedHeaders(HttpRequest request) {
    Map<String, String> headers = new HashMap<>();
    request
        .headers()
        .forEach(
            (name, value) -> {
              if (FORWARDED_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
                headers.put(name, value);
              }
            });
    return headers;
  }
}
