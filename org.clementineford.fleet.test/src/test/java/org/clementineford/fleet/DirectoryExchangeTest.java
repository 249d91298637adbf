package org.clementineford.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.PlatformException;
import org.clementineford.serving.directory.DirectoryCopyState;
import org.clementineford.serving.directory.DirectoryEntries;
import org.clementineford.serving.directory.DirectoryEntry;
import org.clementineford.serving.directory.ObjectDirectory;
import org.clementineford.serving.directory.ObjectKind;
import org.clementineford.transport.EventLoopScheduler;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpServer;
import org.clementineford.wire.DirectoryCopies;
import org.clementineford.wire.DirectoryCopy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DirectoryExchangeTest {
  private static final ObjectKind KIND = ObjectKind.CONFIGURATION;
  private static final long STALE_MS = 200;

  private final MultiThreadIoEventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void stop() {
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** An entry VM that reaches the platform or does not. */
  private final class Vm {
    private final DirectorySync sync;
    private final DirectoryExchange peers;
    private final HostPort address;

    Vm(boolean reachesPlatform) throws Exception {
      this(new FakePlatform(reachesPlatform, 7, 0));
    }

    Vm(FakePlatform platform) throws Exception {
      EventLoopScheduler scheduler = new EventLoopScheduler(eventLoops);
      sync =
          new DirectorySync(
              platform, scheduler, SystemNanoClock.INSTANCE, 3_600, kind -> {}, () -> {});
      DirectoryExchange[] holder = new DirectoryExchange[1];
      address =
          HttpServer.start(
                  eventLoops,
                  new HostPort("127.0.0.1", 0),
                  1 << 16,
                  LinkShaping.NONE,
                  exchange -> holder[0].answer(exchange))
              .address();
      peers =
          new DirectoryExchange(
              sync,
              new HttpClient(eventLoops, LinkShaping.NONE)::call,
              scheduler,
              SystemNanoClock.INSTANCE,
              () -> 0,
              address,
              kind -> TimeUnit.MILLISECONDS.toNanos(STALE_MS));
      holder[0] = peers;
    }

    void start(Vm peer) throws Exception {
      run(
          () -> {
            if (peer != null) {
              peers.addPeers(List.of(peer.address));
            }
            sync.watch(KIND, 60_000, 0);
            peers.start();
            return null;
          });
    }

    DirectoryCopyState copy() {
      return sync.copy(KIND);
    }

    long ageMs() throws Exception {
      return run(
          () ->
              TimeUnit.NANOSECONDS.toMillis(copy().ageNanos(SystemNanoClock.INSTANCE.nanoTime())));
    }
  }

  private <T> T run(Callable<T> task) throws Exception {
    return eventLoops.submit(task).get(5, TimeUnit.SECONDS);
  }

  private void awaitCopy(Vm vm) throws Exception {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
    while (!run(() -> vm.copy().isLoaded()) && System.nanoTime() - deadline < 0) {
      Thread.onSpinWait();
    }
    assertThat(run(() -> vm.copy().isLoaded())).isTrue();
  }

  @Nested
  class VmWithoutPlatform {
    // Guards against a VM that stays without copies although its peers have them.
    @Test
    void fetchesTheCopyFromItsPeer() throws Exception {
      Vm connected = new Vm(true);
      Vm disconnected = new Vm(false);
      connected.start(null);
      awaitCopy(connected);
      disconnected.start(connected);
      awaitCopy(disconnected);
      assertThat(run(() -> disconnected.copy().position().revision())).isEqualTo(7);
      assertThat(run(() -> disconnected.copy().entries().get(0).name())).isEqualTo("main");
      assertThat(run(() -> disconnected.peers.peerCount())).isEqualTo(1);
    }

    // Guards against a copy that looks younger each time a VM passes it on, so that removed keys
    // would be accepted without end.
    @Test
    void keepsTheAgeOfTheCopy() throws Exception {
      Vm connected = new Vm(true);
      Vm first = new Vm(false);
      final Vm second = new Vm(false);
      connected.start(null);
      awaitCopy(connected);
      first.start(connected);
      awaitCopy(first);
      second.start(first);
      awaitCopy(second);
      long original = connected.ageMs();
      assertThat(second.ageMs()).isGreaterThanOrEqualTo(original);
    }
  }

  @Nested
  class Compression {
    private DirectoryCopy copy(String parameter) throws Exception {
      Vm vm = new Vm(true);
      vm.start(null);
      awaitCopy(vm);
      HttpRequest request =
          new HttpRequest(
              "GET", DirectoryExchange.PATH + parameter + KIND + "=0.0", Map.of(), new byte[0]);
      byte[] body = run(() -> vm.peers.copiesFor(request));
      return ThriftCodec.decode(new DirectoryCopies(), body).getCopies().get(0);
    }

    // Guards against an answer that a VM of an earlier release takes for a copy without objects.
    @Test
    void isUsedOnlyForPeersThatAskForIt() throws Exception {
      DirectoryCopy plain = copy("?");
      assertThat(plain.getObjects()).hasSize(1);
      assertThat(plain.isSetCompressedObjects()).isFalse();
      DirectoryCopy compressed = copy("?compressed=1&");
      assertThat(compressed.isSetObjects()).isFalse();
      assertThat(ObjectCompression.decompress(compressed.getCompressedObjects()))
          .isEqualTo(plain.getObjects());
    }
  }

  @Nested
  class VmThatStartsAfterRestoration {
    // Guards against a VM that follows a restored platform, although its peer knows that a higher
    // version of the configuration was confirmed.
    @Test
    void takesHigherVersionsFromItsPeer() throws Exception {
      Vm running = new Vm(new FakePlatform(true, 9, 13));
      Vm started = new Vm(new FakePlatform(true, 25, 6));
      running.start(null);
      awaitCopy(running);
      started.start(running);
      awaitCopy(started);
      long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
      while (run(() -> started.copy().entries().get(0).operatorVersion()) != 13
          && System.nanoTime() - deadline < 0) {
        Thread.onSpinWait();
      }
      assertThat(run(() -> started.copy().entries().get(0).operatorVersion())).isEqualTo(13);
    }
  }

  /** Answers listings and leaves watches pending; fails listings if not reachable. */
  private record FakePlatform(boolean reachable, long revision, long operatorVersion)
      implements ObjectDirectory {
    @Override
    public CompletableFuture<DirectoryEntries> list(ObjectKind kind, boolean current) {
      if (!reachable) {
        return CompletableFuture.failedFuture(
            new PlatformException(ErrorKind.UNAVAILABLE, "connection refused"));
      }
      return CompletableFuture.completedFuture(
          new DirectoryEntries(
              List.of(new DirectoryEntry("main", revision, new byte[] {1}, false, operatorVersion)),
              revision));
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
}
