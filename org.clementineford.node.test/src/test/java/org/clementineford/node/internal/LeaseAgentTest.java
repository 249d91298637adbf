package org.clementineford.node.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.configuration.lease.LeaseTiming;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.PlatformException;
import org.clementineford.kernel.platform.StoredObject;
import org.clementineford.kernel.platform.VersionedObjectStore;
import org.clementineford.kernel.timeline.HybridLogicalClock;
import org.clementineford.kernel.timeline.Timeline;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LeaseAgentTest {
  private static final String FAILURE = "by the test";

  private final VirtualTime time = new VirtualTime(1_000_000);
  private final OneObject store = new OneObject();
  private long suspendedMs;
  private final LeaseAgent agent = agent("entry-1");

  private LeaseAgent agent(String vm) {
    HybridLogicalClock hybridClock = new HybridLogicalClock(time.epochClock());
    return new LeaseAgent(
        new VmIdentity(vm, VmRole.ENTRY, "x", "r", 1, new HostPort("127.0.0.1", 1)),
        store,
        time,
        () -> time.epochClock().time() + suspendedMs,
        time,
        LeaseTiming.DEFAULT,
        () -> true,
        new Timeline(hybridClock, vm, 1, 100));
  }

  /** Advances the time; an event loop goes on after an error of a task. */
  private void advance(long seconds) {
    for (long i = 0; i < seconds; i++) {
      try {
        time.advance(1, TimeUnit.SECONDS);
      } catch (StackOverflowError e) {
        assertThat(e).hasMessage(FAILURE);
      }
    }
  }

  // Guards against orders of a holder whose VM was suspended for longer than its term.
  @Test
  void leaseEndsWhileTheVmIsSuspended() {
    agent.start();
    advance(10);
    assertThat(agent.fencingNumber()).hasValue(1);
    suspendedMs = 60_000;
    assertThat(agent.fencingNumber()).isEmpty();
    advance(6);
    assertThat(agent.fencingNumber()).hasValue(1);
  }

  // Guards against a holder that, suspended for longer than its term, renews what another one took.
  @Test
  void leaseIsNotTakenBackAfterSuspension() {
    agent.start();
    advance(10);
    suspendedMs = 60_000;
    store.object =
        new StoredObject(
            "lease",
            store.object.version() + 1,
            "{\"holder\":\"entry-2/1\",\"fencingNumber\":2,\"attempt\":\"entry-2/1/1\"}"
                .getBytes(StandardCharsets.UTF_8));
    advance(6);
    assertThat(agent.fencingNumber()).isEmpty();
  }

  // Guards against a process that never competes for the lease again after one error.
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3})
  void competesAfterCallThatThrows(int call) {
    store.failingCall = call;
    try {
      agent.start();
    } catch (StackOverflowError e) {
      assertThat(e).hasMessage(FAILURE);
    }
    advance(60);
    assertThat(store.calls).isGreaterThan(call);
    assertThat(agent.fencingNumber()).isPresent();
  }

  /** A store of one object. */
  private static final class OneObject implements VersionedObjectStore {
    private StoredObject object;
    private int calls;
    private int failingCall;

    private void count() {
      calls++;
      if (calls == failingCall) {
        throw new StackOverflowError(FAILURE);
      }
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> get(String key) {
      count();
      return CompletableFuture.completedFuture(Optional.ofNullable(object));
    }

    @Override
    public CompletableFuture<Long> create(String key, byte[] value) {
      return update(key, 0, value);
    }

    @Override
    public CompletableFuture<Long> update(String key, long expectedVersion, byte[] value) {
      count();
      long version = object == null ? 0 : object.version();
      if (version != expectedVersion) {
        return CompletableFuture.failedFuture(
            new PlatformException(ErrorKind.CONFLICT, "another version"));
      }
      object = new StoredObject(key, version + 1, value);
      return CompletableFuture.completedFuture(version + 1);
    }

    @Override
    public CompletableFuture<Void> delete(String key, long expectedVersion) {
      throw new AssertionError();
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> watch(
        String key, long knownVersion, long timeoutMs) {
      throw new AssertionError();
    }

    @Override
    public CompletableFuture<List<String>> list(String prefix) {
      return CompletableFuture.completedFuture(new ArrayList<>());
    }
  }
}
