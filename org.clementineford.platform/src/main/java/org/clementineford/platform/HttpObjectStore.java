package org.clementineford.platform;

import static org.clementineford.platform.HttpCalls.TIMEOUT_MS;
import static org.clementineford.platform.HttpCalls.convert;
import static org.clementineford.platform.HttpCalls.encodePath;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.PlatformException;
import org.clementineford.kernel.platform.StoredObject;
import org.clementineford.kernel.platform.VersionedObjectStore;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;

/**
 * HTTP client of the object API. A call fails after 2 s without a response, a watch 2 s after its
 * own timeout. Status 429 or 503 means that a write had no effect; any other failure of a write
 * that was sent, except another 4xx status, leaves its outcome unknown. A failed read is always
 * {@code UNAVAILABLE}.
 */
public final class HttpObjectStore implements VersionedObjectStore {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final HttpCalls calls;

  /**
   * Creates an adapter.
   *
   * @param client client for the calls
   * @param address address of the object API
   */
  public HttpObjectStore(HttpClient client, HostPort address) {
    this.calls = new HttpCalls(client, address);
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> get(String key) {
    return convert(
        calls.read("/objects/" + encodePath(key), key, TIMEOUT_MS),
        response -> object(key, response));
  }

  @Override
  public CompletableFuture<Long> create(String key, byte[] value) {
    return put(key, Map.of("If-None-Match", "*"), value);
  }

  @Override
  public CompletableFuture<Long> update(String key, long expectedVersion, byte[] value) {
    return put(key, Map.of("If-Match", "\"" + expectedVersion + "\""), value);
  }

  private CompletableFuture<Long> put(String key, Map<String, String> condition, byte[] value) {
    if (value.length > MAX_VALUE_BYTES) {
      return CompletableFuture.failedFuture(tooLarge(key, value.length));
    }
    HttpRequest request = new HttpRequest("PUT", "/objects/" + encodePath(key), condition, value);
    return convert(
        calls.write(request, key),
        response -> {
          checkWritten(key, response, value.length);
          return version(key, response, ErrorKind.OUTCOME_UNKNOWN);
        });
  }

  @Override
  public CompletableFuture<Void> delete(String key, long expectedVersion) {
    HttpRequest request =
        new HttpRequest(
            "DELETE",
            "/objects/" + encodePath(key),
            Map.of("If-Match", "\"" + expectedVersion + "\""),
            new byte[0]);
    return convert(
        calls.write(request, key),
        response -> {
          checkWritten(key, response, 0);
          return null;
        });
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> watch(
      String key, long knownVersion, long timeoutMs) {
    String target =
        "/objects/" + encodePath(key) + "?watch=" + knownVersion + "&timeout=" + timeoutMs;
    return convert(
        calls.read(target, key, timeoutMs + TIMEOUT_MS),
        response -> response.status() == 304 ? Optional.empty() : object(key, response));
  }

  @Override
  public CompletableFuture<List<String>> list(String prefix) {
    String target = "/objects?prefix=" + URLEncoder.encode(prefix, StandardCharsets.UTF_8);
    return convert(
        calls.read(target, prefix, TIMEOUT_MS),
        response -> {
          if (response.status() != 200) {
            throw calls.readFailed(prefix, "status " + response.status());
          }
          return keys(prefix, response.body());
        });
  }

  private List<String> keys(String prefix, byte[] body) throws PlatformException {
    try {
      List<String> keys = new ArrayList<>();
      for (JsonNode key : JSON.readTree(body).path("keys")) {
        keys.add(key.asText());
      }
      return keys;
    } catch (IOException e) {
      throw calls.malformed(ErrorKind.UNAVAILABLE, prefix, e.getMessage());
    }
  }

  private Optional<StoredObject> object(String key, HttpResponse response)
      throws PlatformException {
    return switch (response.status()) {
      case 200 ->
          Optional.of(
              new StoredObject(
                  key, version(key, response, ErrorKind.UNAVAILABLE), response.body()));
      case 404 -> Optional.empty();
      default -> throw calls.readFailed(key, "status " + response.status());
    };
  }

  private void checkWritten(String key, HttpResponse response, int length)
      throws PlatformException {
    int status = response.status();
    switch (status) {
      case 200, 201, 204 -> {}
      case 404, 412 -> throw HttpCalls.failure(ErrorKind.CONFLICT, null, "condition-failed", key);
      case 413 -> throw tooLarge(key, length);
      case 429, 503 ->
          throw HttpCalls.failure(
              ErrorKind.UNAVAILABLE, null, "write-refused", key, calls.address(), status);
      default -> {
        if (status >= 400 && status < 500) {
          throw HttpCalls.failure(
              ErrorKind.INTERNAL, null, "bad-request", key, calls.address(), status);
        }
        throw HttpCalls.failure(
            ErrorKind.OUTCOME_UNKNOWN,
            null,
            "write-unknown",
            key,
            calls.address(),
            "status " + status);
      }
    }
  }

  private static PlatformException tooLarge(String key, int length) {
    return HttpCalls.failure(
        ErrorKind.INVALID_DOCUMENT, null, "value-too-large", key, length, MAX_VALUE_BYTES);
  }

  private long version(String key, HttpResponse response, ErrorKind kindIfMalformed)
      throws PlatformException {
    String tag = response.headers().get("ETag");
    try {
      return Long.parseLong(tag == null ? "" : tag.replace("\"", ""));
    } catch (NumberFormatException e) {
      throw calls.malformed(kindIfMalformed, key, "ETag " + tag);
    }
  }
}
