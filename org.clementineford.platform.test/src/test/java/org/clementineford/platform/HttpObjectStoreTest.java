package org.clementineford.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.PlatformException;
import org.clementineford.kernel.platform.StoredObject;
import org.clementineford.kernel.platform.VersionedObjectStore;
import org.clementineford.standins.ObjectApiStandIn;
import org.clementineford.standins.StandInContext;
import org.clementineford.standins.StandInFaultKind;
import org.clementineford.testing.VirtualTime;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpObjectStoreTest {
  private static final String KEY = "claims/lorient-warehouse/a b%";

  private final VirtualTime time = new VirtualTime(0);
  private EventLoopGroup eventLoops;
  private HttpClient client;
  private ObjectApiStandIn api;
  private VersionedObjectStore store;

  @BeforeEach
  void start() throws Exception {
    eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    client = new HttpClient(eventLoops, LinkShaping.NONE);
    api =
        new ObjectApiStandIn(
            new StandInContext(eventLoops, new HostPort("127.0.0.1", 0), time, time, 1), 0);
    api.start();
    store = new HttpObjectStore(client, api.address());
  }

  @AfterEach
  void stop() {
    client.close();
    api.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static <T> T value(CompletableFuture<T> future) throws Exception {
    return future.get(10, TimeUnit.SECONDS);
  }

  private static ErrorKind failure(CompletableFuture<?> future) throws Exception {
    try {
      future.get(10, TimeUnit.SECONDS);
      throw new AssertionError("the call did not fail");
    } catch (ExecutionException e) {
      return ((PlatformException) e.getCause()).kind();
    }
  }

  // Guards against lost updates and against versions that repeat after a removal.
  @Test
  void conditionalWritesPreventLostUpdates() throws Exception {
    long first = value(store.create(KEY, new byte[] {1}));
    assertThat(failure(store.create(KEY, new byte[] {2}))).isEqualTo(ErrorKind.CONFLICT);
    long second = value(store.update(KEY, first, new byte[] {3}));
    assertThat(failure(store.update(KEY, first, new byte[] {4}))).isEqualTo(ErrorKind.CONFLICT);
    StoredObject read = value(store.get(KEY)).orElseThrow();
    assertThat(read.version()).isEqualTo(second);
    assertThat(read.value()).containsExactly(3);
    assertThat(value(store.list("claims/"))).isEqualTo(List.of(KEY));
    assertThat(failure(store.delete(KEY, first))).isEqualTo(ErrorKind.CONFLICT);
    value(store.delete(KEY, second));
    assertThat(value(store.get(KEY))).isEmpty();
    assertThat(failure(store.update(KEY, second, new byte[0]))).isEqualTo(ErrorKind.CONFLICT);
    assertThat(value(store.create(KEY, new byte[] {5}))).isGreaterThan(second);
  }

  // Guards against reporting a write as failed although it may have taken effect.
  @Test
  void failuresShowWhetherTheWriteHadAnEffect() throws Exception {
    api.faults().setNext(StandInFaultKind.LOST_REPLY, 1);
    assertThat(failure(store.create(KEY, new byte[1]))).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
    assertThat(value(store.get(KEY))).isPresent();
    api.startOutage();
    assertThat(failure(store.create("other", new byte[1]))).isEqualTo(ErrorKind.UNAVAILABLE);
    assertThat(failure(store.get(KEY))).isEqualTo(ErrorKind.UNAVAILABLE);
    api.endOutage();
    assertThat(value(store.get("other"))).isEmpty();
    api.faults().setNext(StandInFaultKind.HANG, 1);
    assertThat(failure(store.create("other", new byte[1]))).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
    api.faults().setNext(StandInFaultKind.HANG, 1);
    assertThat(failure(store.list(""))).isEqualTo(ErrorKind.UNAVAILABLE);
    assertThat(failure(store.create(KEY, new byte[VersionedObjectStore.MAX_VALUE_BYTES + 1])))
        .isEqualTo(ErrorKind.INVALID_DOCUMENT);
    api.close();
    assertThat(failure(store.create(KEY, new byte[1]))).isEqualTo(ErrorKind.UNAVAILABLE);
  }

  // Guards against watches that miss a change, never end, or outlive an outage.
  @Test
  void watchesEndOnChangeTimeoutOrOutage() throws Exception {
    CompletableFuture<Optional<StoredObject>> created = store.watch(KEY, 0, 30_000);
    awaitWatches(1);
    long version = value(store.create(KEY, new byte[1]));
    assertThat(value(created).orElseThrow().version()).isEqualTo(version);
    assertThat(value(store.watch(KEY, 0, 30_000))).isPresent();
    CompletableFuture<Optional<StoredObject>> idle = store.watch(KEY, version, 30_000);
    awaitWatches(1);
    time.advance(30, TimeUnit.SECONDS);
    assertThat(value(idle)).isEmpty();
    CompletableFuture<Optional<StoredObject>> interrupted = store.watch(KEY, version, 30_000);
    awaitWatches(1);
    api.startOutage();
    assertThat(failure(interrupted)).isEqualTo(ErrorKind.UNAVAILABLE);
    assertThat(api.counters().get("watch")).isEqualTo(4);
  }

  // Guards against a stand-in that cannot simulate a stale read.
  @Test
  void staleReadReturnsTheEarlierValue() throws Exception {
    long first = value(store.create(KEY, new byte[] {1}));
    long second = value(store.update(KEY, first, new byte[] {2}));
    api.faults().setNext(StandInFaultKind.STALE_READ, 1);
    assertThat(value(store.get(KEY)).orElseThrow().version()).isEqualTo(first);
    assertThat(value(store.get(KEY)).orElseThrow().version()).isEqualTo(second);
  }

  private void awaitWatches(int count) {
    while (api.pendingWatches() < count) {
      Thread.onSpinWait();
    }
  }
}
