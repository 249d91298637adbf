package org.clementineford.node.internal;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.configuration.Document;
import org.clementineford.kernel.platform.StoredObject;
import org.clementineford.kernel.platform.VersionedObjectStore;
import org.clementineford.kernel.timeline.HybridLogicalClock;
import org.clementineford.kernel.timeline.Timeline;
import org.clementineford.testing.VirtualTime;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.PeerNetwork;
import org.clementineford.transport.PeerTiming;
import org.clementineford.wire.VmIdentity;
import org.clementineford.wire.VmRole;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PlatformWatchTest {
  private static final String FAILURE = "by the test";
  private static final VmIdentity SELF =
      new VmIdentity("vm-1", VmRole.ENTRY, "lorient", "brittany", 1, "127.0.0.1:0");

  private final VirtualTime time = new VirtualTime(1_000_000);
  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final PeerNetwork network =
      new PeerNetwork(eventLoops, SELF, PeerTiming.DEFAULT, time, LinkShaping.NONE);
  private final HybridLogicalClock hybridClock = new HybridLogicalClock(time.epochClock());
  private final ConfigurationAgent configuration =
      new ConfigurationAgent(
          network,
          new Timeline(hybridClock, "vm-1", 1, 100),
          hybridClock,
          time,
          time.epochClock(),
          List::of);
  private final Store store = new Store();

  @AfterEach
  void stop() {
    network.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void advance(long seconds) {
    for (long i = 0; i < seconds; i++) {
      run(() -> time.advance(1, TimeUnit.SECONDS));
    }
  }

  /** Runs a task as an event loop does, which goes on after an error. */
  private static void run(Runnable task) {
    try {
      task.run();
    } catch (StackOverflowError e) {
      assertThat(e).hasMessage(FAILURE);
    }
  }

  private void storeDocument(long revision) {
    store.document =
        new StoredObject(
            Document.OBJECT_KEY, revision, new Document(revision, Map.of(), List.of()).toJson());
    store.announce(revision);
  }

  // Guards against a process that never again reads a document of the platform after one error.
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4})
  void watchesOnAfterCallThatThrows(int call) {
    store.failingCall = call;
    run(new PlatformWatch(store, configuration, time, () -> true)::start);
    advance(5);
    storeDocument(3);
    advance(20);
    assertThat(store.calls).isGreaterThan(call);
    assertThat(configuration.current().revision()).isEqualTo(3);
  }

  // Guards against the same after an error of a component that a change is passed to.
  @Test
  void watchesOnAfterAnErrorOfListener() {
    List<Long> seen = new ArrayList<>();
    List<Error> errors = new ArrayList<>(List.of(new StackOverflowError(FAILURE)));
    configuration.onChange(
        snapshot -> {
          if (!errors.isEmpty()) {
            throw errors.remove(0);
          }
        });
    configuration.onChange(snapshot -> seen.add(snapshot.revision()));
    storeDocument(2);
    run(new PlatformWatch(store, configuration, time, () -> true)::start);
    advance(5);
    storeDocument(3);
    advance(20);
    assertThat(errors).isEmpty();
    assertThat(seen).containsExactly(2L, 3L);
  }

  /** A store of a document and its revision, whose watches end when the revision changes. */
  private static final class Store implements VersionedObjectStore {
    private StoredObject document;
    private StoredObject revision;
    private CompletableFuture<Optional<StoredObject>> watch = new CompletableFuture<>();
    private int calls;
    private int failingCall;

    private void count() {
      calls++;
      if (calls == failingCall) {
        throw new StackOverflowError(FAILURE);
      }
    }

    void announce(long next) {
      revision =
          new StoredObject(
              StoredRevision.OBJECT_KEY,
              next,
              Long.toString(next).getBytes(StandardCharsets.UTF_8));
      CompletableFuture<Optional<StoredObject>> ended = watch;
      watch = new CompletableFuture<>();
      run(() -> ended.complete(Optional.of(revision)));
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> get(String key) {
      count();
      return CompletableFuture.completedFuture(
          Optional.ofNullable(key.equals(Document.OBJECT_KEY) ? document : revision));
    }

    @Override
    public CompletableFuture<Long> create(String key, byte[] value) {
      return CompletableFuture.completedFuture(1L);
    }

    @Override
    public CompletableFuture<Long> update(String key, long expectedVersion, byte[] value) {
      return CompletableFuture.completedFuture(expectedVersion + 1);
    }

    @Override
    public CompletableFuture<Void> delete(String key, long expectedVersion) {
      throw new AssertionError();
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> watch(
        String key, long knownVersion, long timeoutMs) {
      count();
      return revision != null && revision.version() > knownVersion
          ? CompletableFuture.completedFuture(Optional.of(revision))
          : watch;
    }

    @Override
    public CompletableFuture<List<String>> list(String prefix) {
      return CompletableFuture.completedFuture(List.of());
    }
  }
}
