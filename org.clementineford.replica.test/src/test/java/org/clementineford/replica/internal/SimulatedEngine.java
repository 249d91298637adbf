package org.clementineford.replica.internal;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntUnaryOperator;
import java.util.stream.IntStream;
import org.clementineford.kernel.HostPort;
import org.clementineford.replica.EngineStatus;
import org.clementineford.replica.LocalEngine;
import org.clementineford.replica.WeightDigests;
import org.clementineford.replica.WeightOrigin;
import org.clementineford.weights.Digests;

/** An engine and an origin whose calls a test can hold back, fail or follow with an event. */
final class SimulatedEngine implements LocalEngine, WeightOrigin {
  static final int CHUNKS = 4;

  /** Versions that the engine was ordered to load. */
  final List<Long> loaded = new ArrayList<>();

  /** What is staged at the moment of each order. */
  final List<Map<Integer, byte[]>> stagedAtOrders = new ArrayList<>();

  final Map<Integer, byte[]> staged = new HashMap<>();
  EngineStatus status = statusOf(1, 1, false);

  /** Number of chunks in the lists of digests, by the number of the list, from 1. */
  IntUnaryOperator chunksInList = list -> CHUNKS;

  Runnable afterStaging = () -> {};

  /** Number of the list in which the digest of the last chunk is wrong; 0 for none. */
  int wrongDigestInList;

  int writes;
  int listsRead;

  /** Thrown by the next call of the kind and then forgotten. */
  Error stageError;

  Error loadError;
  Error stagedError;
  Error digestsError;
  Error statusError;

  static byte[] chunkOf(long version, int number) {
    return (version + ":" + number).getBytes(StandardCharsets.UTF_8);
  }

  static EngineStatus statusOf(long incarnation, long version, boolean busy) {
    return new EngineStatus(incarnation, version, busy, 0, 0, 0, 1, false, 1.0);
  }

  private static void throwOnce(Error error) {
    if (error != null) {
      throw error;
    }
  }

  @Override
  public CompletableFuture<EngineStatus> status() {
    Error error = statusError;
    statusError = null;
    throwOnce(error);
    return CompletableFuture.completedFuture(status);
  }

  @Override
  public CompletableFuture<Void> stage(String model, int chunk, byte[] bytes) {
    Error error = stageError;
    stageError = null;
    throwOnce(error);
    staged.put(chunk, bytes);
    writes++;
    if (chunk == CHUNKS - 1) {
      Runnable event = afterStaging;
      afterStaging = () -> {};
      event.run();
    }
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<Optional<byte[]>> staged(String model, int chunk) {
    Error error = stagedError;
    stagedError = null;
    throwOnce(error);
    return CompletableFuture.completedFuture(Optional.ofNullable(staged.get(chunk)));
  }

  @Override
  public CompletableFuture<Void> load(String model, long version) {
    Error error = loadError;
    loadError = null;
    throwOnce(error);
    loaded.add(version);
    stagedAtOrders.add(Map.copyOf(staged));
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<WeightDigests> digests(
      HostPort address, String model, OptionalLong version) {
    Error error = digestsError;
    digestsError = null;
    throwOnce(error);
    listsRead++;
    long wanted = version.orElse(1);
    List<String> digests =
        IntStream.range(0, chunksInList.applyAsInt(listsRead))
            .mapToObj(
                i ->
                    Digests.sha256Hex(
                        chunkOf(
                            listsRead == wrongDigestInList && i == CHUNKS - 1 ? 99 : wanted, i)))
            .toList();
    return CompletableFuture.completedFuture(new WeightDigests(model, wanted, 3, digests));
  }

  @Override
  public CompletableFuture<byte[]> chunk(HostPort address, String model, long version, int chunk) {
    return CompletableFuture.completedFuture(chunkOf(version, chunk));
  }
}
