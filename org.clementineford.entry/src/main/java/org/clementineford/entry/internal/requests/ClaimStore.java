package org.clementineford.entry.internal.requests;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.platform.VersionedObjectStore;
import org.clementineford.requests.claims.Claim;
import org.clementineford.requests.claims.StoredAnswer;

/**
 * Stores claims as objects of the platform, under {@code claims/ACCOUNT/DIGEST}, where DIGEST is
 * the SHA-256 of the idempotency key.
 */
final class ClaimStore {
  private final VersionedObjectStore objects;
  private final ObjectMapper json = new ObjectMapper();

  ClaimStore(VersionedObjectStore objects) {
    this.objects = objects;
  }

  static String objectKey(String account, String key) {
    return "claims/" + account + "/" + Accounts.sha256Hex(key.getBytes(StandardCharsets.UTF_8));
  }

  CompletableFuture<Long> create(String objectKey, Claim claim) {
    return objects.create(objectKey, encode(claim));
  }

  CompletableFuture<Long> replace(String objectKey, long version, Claim claim) {
    return objects.update(objectKey, version, encode(claim));
  }

  CompletableFuture<Optional<VersionedClaim>> read(String objectKey) {
    return objects
        .get(objectKey)
        .thenApply(
            found ->
                found.map(object -> new VersionedClaim(object.version(), decode(object.value()))));
  }

  /** Returns the error kind of a failed call; an unrecognized failure has an unknown outcome. */
  static ErrorKind kindOf(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof ClementinefordException known
        ? known.kind()
        : ErrorKind.OUTCOME_UNKNOWN;
  }

  private byte[] encode(Claim claim) {
    StoredAnswer answer = claim.answer();
    Document document =
        new Document(
            claim.attemptId(),
            claim.vm(),
            claim.incarnation(),
            claim.address().toString(),
            claim.digest(),
            claim.done(),
            answer == null ? null : answer.status(),
            answer == null ? null : answer.headers(),
            answer == null ? null : answer.body());
    try {
      return json.writeValueAsBytes(document);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot encode a claim as JSON", e);
    }
  }

  private Claim decode(byte[] value) {
    try {
      Document document = json.readValue(value, Document.class);
      StoredAnswer answer =
          document.status() == null
              ? null
              : new StoredAnswer(document.status(), document.headers(), document.body());
      return new Claim(
          document.attempt(),
          document.vm(),
          document.incarnation(),
          HostPort.parse(document.address()),
          document.digest(),
          document.done(),
          answer);
    } catch (IOException | ClementinefordException e) {
      throw new CompletionException(
          new ClementinefordException(
              ErrorKind.CORRUPT_DATA, "a claim stored on the platform cannot be decoded", e));
    }
  }

  /** A claim and the version of the object that stores it. */
  record VersionedClaim(long version, Claim claim) {}

  @JsonInclude(JsonInclude.Include.NON_NULL)
  private record Document(
      String attempt,
      String vm,
      long incarnation,
      String address,
      String digest,
      boolean done,
      Integer status,
      Map<String, String> headers,
      byte[] body) {}
}
