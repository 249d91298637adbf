package org.clementineford.platform;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.MessageCatalog;
import org.clementineford.kernel.errors.CompletionExceptions;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.PlatformException;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;

/** HTTP calls to one external system, with failures mapped to {@link PlatformException}. */
final class HttpCalls {
  /** Timeout in milliseconds of a call, and of a transfer that receives nothing. */
  static final long TIMEOUT_MS = 2000;

  private static final MessageCatalog MESSAGES = MessageCatalog.of(HttpCalls.class);

  private final HttpClient client;
  private final HostPort address;

  HttpCalls(HttpClient client, HostPort address) {
    this.client = client;
    this.address = address;
  }

  HttpClient client() {
    return client;
  }

  HostPort address() {
    return address;
  }

  /** Sends a read. Without a response it fails as UNAVAILABLE, since a read has no effect. */
  CompletableFuture<HttpResponse> read(String target, String subject, long timeoutMs) {
    HttpRequest request = new HttpRequest("GET", target, Map.of(), new byte[0]);
    return mapFailure(
        client.call(address, request, timeoutMs), cause -> readFailed(subject, cause));
  }

  /** Sends a write. A failure keeps the distinction of the client: not received, or unknown. */
  CompletableFuture<HttpResponse> write(HttpRequest request, String subject) {
    return mapFailure(
        client.call(address, request, TIMEOUT_MS), cause -> writeFailed(subject, cause));
  }

  PlatformException readFailed(String subject, Throwable cause) {
    return failure(ErrorKind.UNAVAILABLE, cause, "read-failed", subject, address, messageOf(cause));
  }

  PlatformException readFailed(String subject, String cause) {
    return failure(ErrorKind.UNAVAILABLE, null, "read-failed", subject, address, cause);
  }

  PlatformException writeFailed(String subject, Throwable cause) {
    boolean noEffect =
        cause instanceof PlatformException platform && platform.kind() == ErrorKind.UNAVAILABLE;
    return noEffect
        ? (PlatformException) cause
        : failure(
            ErrorKind.OUTCOME_UNKNOWN, cause, "write-unknown", subject, address, messageOf(cause));
  }

  PlatformException malformed(ErrorKind kind, String subject, String detail) {
    return failure(kind, null, "malformed-answer", subject, address, detail);
  }

  static PlatformException failure(
      ErrorKind kind, Throwable cause, String messageKey, Object... arguments) {
    String message = MESSAGES.format(messageKey, arguments);
    return cause == null
        ? new PlatformException(kind, message)
        : new PlatformException(kind, message, cause);
  }

  /** Percent-encodes text as a part of a path, keeping slashes. */
  static String encodePath(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20").replace("%2F", "/");
  }

  private static String messageOf(Throwable cause) {
    return cause.getMessage() == null ? cause.toString() : cause.getMessage();
  }

  private static <T> CompletableFuture<T> mapFailure(
      CompletableFuture<T> future, FailureMapping mapping) {
    CompletableFuture<T> mapped = new CompletableFuture<>();
    future.whenComplete(
        (value, failure) -> {
          if (failure == null) {
            mapped.complete(value);
          } else {
            mapped.completeExceptionally(mapping.map(CompletionExceptions.unwrap(failure)));
          }
        });
    return mapped;
  }

  /** Converts a response; the future fails with the exception that the conversion throws. */
  static <T, R> CompletableFuture<R> convert(
      CompletableFuture<T> future, Conversion<T, R> conversion) {
    CompletableFuture<R> converted = new CompletableFuture<>();
    future.whenComplete(
        (value, failure) -> {
          if (failure != null) {
            converted.completeExceptionally(CompletionExceptions.unwrap(failure));
            return;
          }
          try {
            converted.complete(conversion.apply(value));
          } catch (PlatformException | RuntimeException e) {
            converted.completeExceptionally(e);
          }
        });
    return converted;
  }

  @FunctionalInterface
  private interface FailureMapping {
    PlatformException map(Throwable cause);
  }

  /** A conversion that may reject the response. */
  @FunctionalInterface
  interface Conversion<T, R> {
    R apply(T value) throws PlatformException;
  }
}
