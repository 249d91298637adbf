package org.clementineford.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;

/** Calls the admin servers of entry VMs, in order until one answers. */
public final class EntryConnection implements AutoCloseable {
  private static final String ERROR_KIND_HEADER = "Clementineford-Error-Kind";
  // Longer than the 10 s for which an entry VM retries calls to the platform.
  private static final long TIMEOUT_MS = 15_000;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final List<HostPort> entries;
  private final EventLoopGroup eventLoops;
  private final HttpClient client;

  /**
   * Creates a connection.
   *
   * @param entries admin addresses of entry VMs, at least one
   */
  public EntryConnection(List<HostPort> entries) {
    this.entries = List.copyOf(entries);
    this.eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    this.client = new HttpClient(eventLoops, LinkShaping.NONE);
  }

  /**
   * Sends a GET request.
   *
   * @param target path with query
   * @return the JSON body
   * @throws ClementinefordException if the entry VM refuses or none answers
   */
  public JsonNode get(String target) throws ClementinefordException {
    return call(new HttpRequest("GET", target, Map.of(), new byte[0]));
  }

  /**
   * Sends an idempotent POST request, which is repeated at the next entry VM after a failure.
   *
   * @param target path with query
   * @param value body, which Jackson must be able to write
   * @return the JSON body
   * @throws ClementinefordException if the entry VM refuses or none answers; kind {@code
   *     OUTCOME_UNKNOWN} if the value may have taken effect
   */
  public JsonNode post(String target, Object value) throws ClementinefordException {
    try {
      return call(new HttpRequest("POST", target, Map.of(), JSON.writeValueAsBytes(value)));
    } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
      throw new IllegalStateException("the request body cannot be written as JSON", e);
    }
  }

  private JsonNode call(HttpRequest request) throws ClementinefordException {
    ClementinefordException failure = null;
    for (HostPort entry : entries) {
      try {
        return parse(entry, client.call(entry, request, TIMEOUT_MS).get());
      } catch (ExecutionException e) {
        failure = failureToReport(failure, toTypedFailure(e.getCause()));
      } catch (ClementinefordException e) {
        if (e.kind() != ErrorKind.UNAVAILABLE && e.kind() != ErrorKind.OUTCOME_UNKNOWN) {
          throw e;
        }
        failure = failureToReport(failure, e);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new ClementinefordException(ErrorKind.OUTCOME_UNKNOWN, "interrupted; try again", e);
      }
    }
    if (failure == null) {
      throw new ClementinefordException(
          ErrorKind.INVALID_SETTING, "no entry VM is given; use --entry HOST:PORT");
    }
    throw failure;
  }

  /**
   * Returns the failure to report. An unknown outcome at one entry VM takes precedence, since later
   * failures do not rule out that the request took effect there.
   */
  private static ClementinefordException failureToReport(
      ClementinefordException first, ClementinefordException second) {
    return first != null && first.kind() == ErrorKind.OUTCOME_UNKNOWN ? first : second;
  }

  private static ClementinefordException toTypedFailure(Throwable cause) {
    return cause instanceof ClementinefordException typed
        ? typed
        : new ClementinefordException(
            ErrorKind.INTERNAL, "unexpected failure (" + cause + "); report this defect", cause);
  }

  private static JsonNode parse(HostPort entry, HttpResponse response)
      throws ClementinefordException {
    if (response.status() != 200) {
      String kind = response.headers().get(ERROR_KIND_HEADER);
      String message = new String(response.body(), StandardCharsets.UTF_8).strip();
      throw new ClementinefordException(kindOf(kind), message);
    }
    try {
      return JSON.readTree(response.body());
    } catch (IOException e) {
      throw new ClementinefordException(
          ErrorKind.CORRUPT_DATA,
          entry + " did not answer with JSON; check that it is an admin address",
          e);
    }
  }

  private static ErrorKind kindOf(String name) {
    for (ErrorKind kind : ErrorKind.values()) {
      if (kind.name().equals(name)) {
        return kind;
      }
    }
    return ErrorKind.UNAVAILABLE;
  }

  @Override
  public void close() {
    client.close();
    eventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }
}
