package org.clementineford.bench.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.PlatformException;
import org.clementineford.kernel.platform.ModelEngine.EngineLoad;
import org.clementineford.platform.HttpModelEngine;
import org.clementineford.platform.HttpWeightSource;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;

/** Reads from the stand-ins and the daemons what was loaded, transferred and run. */
final class GroundTruth {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long WAIT_SECONDS = 5;

  private final HttpClient client;
  private final List<HostPort> engines;
  private final HostPort origin;
  private final HostPort service;

  GroundTruth(HttpClient client, List<HostPort> engines, HostPort origin, HostPort service) {
    this.client = client;
    this.engines = List.copyOf(engines);
    this.origin = origin;
    this.service = service;
  }

  /** Returns the digest of the complete weights of each version. */
  Map<String, String> digests(List<String> versions) throws PlatformException {
    HttpWeightSource source = new HttpWeightSource(client, origin);
    Map<String, String> digests = new HashMap<>();
    for (String version : versions) {
      byte[] manifest = await(source.manifest("assistant", version));
      digests.put(version, parse(manifest).path("digest").asText());
    }
    return digests;
  }

  /** Returns the number of engines that have a version loaded. */
  long enginesWith(String version) throws PlatformException {
    long count = 0;
    for (HostPort engine : engines) {
      EngineLoad load = await(new HttpModelEngine(client, engine).readLoad());
      boolean loaded =
          Optional.ofNullable(load.loaded()).map(l -> l.version().equals(version)).orElse(false);
      count += loaded ? 1 : 0;
    }
    return count;
  }

  int engineCount() {
    return engines.size();
  }

  long originBytes() throws PlatformException {
    return get(origin, "/counters").path("bytes").asLong();
  }

  /** Returns the number of runs by idempotency key. */
  Map<String, Integer> runsByKey() throws PlatformException {
    Map<String, Integer> runs = new HashMap<>();
    get(service, "/runs")
        .path("byKey")
        .properties()
        .forEach(entry -> runs.put(entry.getKey(), entry.getValue().asInt()));
    return runs;
  }

  /** Returns the bytes of weights that the endpoint VMs report as read from peers. */
  long peerBytes(HostPort admin) throws PlatformException {
    long bytes = 0;
    for (JsonNode member : get(admin, "/status").path("members")) {
      for (JsonNode model : member.path("models")) {
        bytes += model.path("bytesFromPeers").asLong();
      }
    }
    return bytes;
  }

  private JsonNode get(HostPort address, String path) throws PlatformException {
    return parse(
        await(client.call(address, new HttpRequest("GET", path, Map.of(), new byte[0]), 2000))
            .body());
  }

  private static JsonNode parse(byte[] json) throws PlatformException {
    try {
      return JSON.readTree(json);
    } catch (IOException e) {
      throw new PlatformException(
          ErrorKind.CORRUPT_DATA, "malformed JSON from a stand-in or daemon", e);
    }
  }

  private static <T> T await(CompletableFuture<T> future) throws PlatformException {
    try {
      return future.get(WAIT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException e) {
      throw new PlatformException(ErrorKind.UNAVAILABLE, e.getCause().getMessage(), e);
    } catch (InterruptedException | TimeoutException e) {
      throw new PlatformException(ErrorKind.UNAVAILABLE, "a stand-in or daemon did not answer", e);
    }
  }
}
