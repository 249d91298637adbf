package org.clementineford.replica;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.fleet.DirectoryDecoder;
import org.clementineford.fleet.RegisteredEntryVm;
import org.clementineford.fleet.VmSettings;
import org.clementineford.kernel.HostPort;
import org.clementineford.serving.directory.DirectoryEntries;
import org.clementineford.serving.directory.DirectoryEntry;
import org.clementineford.serving.directory.ObjectDirectory;
import org.clementineford.serving.directory.ObjectKind;
import org.clementineford.serving.model.CallerLimits;
import org.clementineford.serving.model.Endpoint;
import org.clementineford.serving.model.EngineProfile;
import org.clementineford.serving.model.RoutingConfiguration;
import org.clementineford.serving.model.Service;
import org.clementineford.serving.model.WeightLayout;
import org.clementineford.serving.model.WeightTarget;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;
import org.clementineford.weights.Digests;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class EndpointVmStopTest {
  private static final int CHUNKS = 4;
  private static final int CHUNK_BYTES = 3;
  private static final long VERSION = 2;

  /** Bandwidth at which the upload of a chunk takes about 0.4 s. */
  private static final long LINK_BYTES_PER_SECOND = 8;

  /** Requests for chunks that wait for the link at most. */
  private static final int MAX_WAITING = 6;

  private static final long LONG_STOP_MS = 8_000;

  private final MultiThreadIoEventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final FakeEngine engine = new FakeEngine();
  private HostPort peerAddress;

  @AfterEach
  void endEventLoops() {
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private EndpointVm start(long stopTimeoutMs) throws Exception {
    peerAddress = new HostPort("127.0.0.1", freeTcpPort());
    HostPort closed = new HostPort("127.0.0.1", 1);
    VmSettings settings =
        new VmSettings(
            "a",
            "x",
            "r",
            Map.of("x", "r"),
            Optional.empty(),
            Optional.empty(),
            peerAddress,
            new HostPort("127.0.0.1", freeUdpPort()),
            List.of(),
            Optional.of(closed),
            "s",
            closed,
            LINK_BYTES_PER_SECOND,
            new VmSettings.Bounds(stopTimeoutMs, 0, false, 8_000, 0, 0, 1, 3_600, 0, 0, 0));
    EndpointVm vm =
        new EndpointVm(
            settings,
            new FakeDirectory(),
            new FakeDecoder(),
            engine,
            new FakeOrigin(),
            eventLoops,
            SystemNanoClock.INSTANCE,
            SystemNanoClock.INSTANCE,
            1);
    vm.start();
    return vm;
  }

  private static int freeTcpPort() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return free.getLocalPort();
    }
  }

  private static int freeUdpPort() throws IOException {
    try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return free.getLocalPort();
    }
  }

  private CompletableFuture<Integer> fetch(HttpClient client, int chunk) {
    String path = "/chunks/m/" + VERSION + "/" + chunk;
    return client
        .call(peerAddress, new HttpRequest("GET", path, Map.of(), new byte[0]), 20_000)
        .thenApply(HttpResponse::status);
  }

  private void runOnEventLoop(Runnable task) throws Exception {
    eventLoops.submit(task).get(10, TimeUnit.SECONDS);
  }

  @Test
  void sendsNoOrderAfterTheStopBegan() throws Exception {
    EndpointVm vm = start(LONG_STOP_MS);
    assertThat(engine.staging.await(20, TimeUnit.SECONDS)).isTrue();
    vm.stop();
    runOnEventLoop(() -> engine.staged.complete(null));
    runOnEventLoop(() -> {});
    assertThat(engine.ordered.getCount()).as("orders to come").isOne();
  }

  @Test
  void waitsForTheAnswerToAnOrder() throws Exception {
    EndpointVm vm = start(LONG_STOP_MS);
    engine.staged.complete(null);
    assertThat(engine.ordered.await(20, TimeUnit.SECONDS)).isTrue();
    CompletableFuture<Void> stopped = CompletableFuture.runAsync(vm::stop);
    boolean cutOff =
        eventLoops
            .schedule(
                () -> {
                  boolean ended = stopped.isDone();
                  engine.loaded.complete(null);
                  return ended;
                },
                500,
                TimeUnit.MILLISECONDS)
            .get();
    assertThat(cutOff).isFalse();
    stopped.get(20, TimeUnit.SECONDS);
  }

  @Test
  void doesNotWaitLongerThanTheStopTimeForAnOrder() throws Exception {
    EndpointVm vm = start(1_000);
    engine.staged.complete(null);
    assertThat(engine.ordered.await(20, TimeUnit.SECONDS)).isTrue();
    vm.stop();
    assertThat(engine.loaded).isNotDone();
  }

  @Test
  void answersWaitingFetchesOfPeersAndRefusesOthers() throws Exception {
    final EndpointVm vm = start(LONG_STOP_MS);
    assertThat(engine.staging.await(20, TimeUnit.SECONDS)).isTrue();
    HttpClient client = new HttpClient(eventLoops, LinkShaping.NONE);
    List<CompletableFuture<Integer>> fetches = new ArrayList<>();
    CompletableFuture<Void> refused = new CompletableFuture<>();
    for (int i = 0; i < MAX_WAITING + 4; i++) {
      CompletableFuture<Integer> fetch = fetch(client, i % CHUNKS);
      fetch.thenAccept(status -> refuse(refused, status));
      fetches.add(fetch);
    }
    // One that is refused shows that as many as possible wait.
    refused.get(20, TimeUnit.SECONDS);
    CompletableFuture<Void> stopped = CompletableFuture.runAsync(vm::stop);
    stopped.get(20, TimeUnit.SECONDS);
    assertThat(fetches).allMatch(CompletableFuture::isDone);
    assertThat(fetches.stream().filter(fetch -> fetch.join() == 200).count())
        .isGreaterThanOrEqualTo(MAX_WAITING);
    assertThat(fetch(client, 0).get(20, TimeUnit.SECONDS)).isEqualTo(503);
  }

  private static void refuse(CompletableFuture<Void> refused, int status) {
    if (status == 503) {
      refused.complete(null);
    }
  }

  /** Engine without weights; its answers to writes and orders are given by the test. */
  private static final class FakeEngine implements LocalEngine {
    private final CountDownLatch staging = new CountDownLatch(CHUNKS);
    private final CountDownLatch ordered = new CountDownLatch(1);
    private final CompletableFuture<Void> staged = new CompletableFuture<>();
    private final CompletableFuture<Void> loaded = new CompletableFuture<>();

    @Override
    public CompletableFuture<EngineStatus> status() {
      return CompletableFuture.completedFuture(
          new EngineStatus(1, 0, false, 0, 0, 0, 1, false, 1.0));
    }

    @Override
    public CompletableFuture<Void> stage(String model, int chunk, byte[] bytes) {
      staging.countDown();
      return staged;
    }

    @Override
    public CompletableFuture<Optional<byte[]>> staged(String model, int chunk) {
      return CompletableFuture.completedFuture(Optional.empty());
    }

    @Override
    public CompletableFuture<Void> load(String model, long version) {
      ordered.countDown();
      return loaded;
    }
  }

  private static final class FakeOrigin implements WeightOrigin {
    private static byte[] content(int chunk) {
      return (VERSION + ":" + chunk).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public CompletableFuture<WeightDigests> digests(
        HostPort origin, String model, OptionalLong version) {
      List<String> digests = new ArrayList<>();
      for (int i = 0; i < CHUNKS; i++) {
        digests.add(Digests.sha256Hex(content(i)));
      }
      return CompletableFuture.completedFuture(
          new WeightDigests(model, VERSION, CHUNK_BYTES, digests));
    }

    @Override
    public CompletableFuture<byte[]> chunk(HostPort origin, String model, long version, int chunk) {
      return CompletableFuture.completedFuture(content(chunk));
    }
  }

  private static final class FakeDirectory implements ObjectDirectory {
    @Override
    public CompletableFuture<DirectoryEntries> list(ObjectKind kind, boolean current) {
      boolean filled = kind == ObjectKind.CONFIGURATION || kind == ObjectKind.WEIGHT_TARGETS;
      DirectoryEntry entry = new DirectoryEntry("e", 1, new byte[0], false, 1);
      return CompletableFuture.completedFuture(
          new DirectoryEntries(filled ? List.of(entry) : List.of(), 1));
    }

    @Override
    public CompletableFuture<DirectoryEntries> watch(ObjectKind kind, long revision, long waitMs) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Void> register(String name, String address, String dataCentre) {
      return CompletableFuture.completedFuture(null);
    }
  }

  private static final class FakeDecoder implements DirectoryDecoder {
    @Override
    public RoutingConfiguration configuration(DirectoryEntry entry) {
      EngineProfile profile =
          new EngineProfile(
              "m",
              1,
              1,
              1,
              1,
              0,
              0,
              1,
              0,
              1,
              1,
              Optional.of(new WeightLayout(CHUNKS, CHUNK_BYTES)));
      HostPort origin = new HostPort("127.0.0.1", 1);
      return new RoutingConfiguration(
          1,
          List.of(),
          List.of(
              new Service("s", 1, Optional.of(profile), Optional.empty()),
              new Service("origin", 1, Optional.empty(), Optional.of(origin))),
          Map.of(),
          false,
          new CallerLimits(1, 1));
    }

    @Override
    public Optional<Endpoint> endpoint(DirectoryEntry entry) {
      return Optional.empty();
    }

    @Override
    public Optional<WeightTarget> weightTarget(DirectoryEntry entry) {
      return Optional.of(new WeightTarget("m", VERSION));
    }

    @Override
    public Optional<RegisteredEntryVm> entryVm(DirectoryEntry entry) {
      return Optional.empty();
    }
  }
}
