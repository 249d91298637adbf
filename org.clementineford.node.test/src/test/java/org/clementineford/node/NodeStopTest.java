package org.clementineford.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.Settings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class NodeStopTest {
  private static final long DRAIN_MS = 30_000;

  private final List<String> events = Collections.synchronizedList(new ArrayList<>());
  private TestFleet fleet;
  private Node node;
  private Thread stop;

  @BeforeEach
  void open() throws Exception {
    fleet = new TestFleet();
    HostPort any = new HostPort("127.0.0.1", 0);
    VmIdentity identity =
        new VmIdentity("entry-1", VmRole.ENTRY, "a", "region", TestFleet.EPOCH_MS, any);
    node =
        fleet.unstarted(
            new NodeSettings(identity, any, fleet.platform.address(), List.of(), DRAIN_MS), 0);
    stop = new Thread(node::stop, "stop");
  }

  @AfterEach
  void close() {
    node.stop();
    fleet.close();
  }

  private void start(NodeComponentFactory... factories) throws Exception {
    node.start(List.of(factories), Settings.read(List.of(), new String[0], Map.of()));
  }

  /** Begins a stop and returns when it waits for the start, or has ended. */
  private void beginStop() {
    stop.start();
    while (stop.getState() != Thread.State.TIMED_WAITING
        && stop.getState() != Thread.State.TERMINATED) {
      Thread.onSpinWait();
    }
  }

  @Nested
  class DuringTheStart {
    // Guards against a process that takes work after its stop, or cuts what it took during the
    // start.
    @Test
    void drainsWhatHasStartedAndStartsNoMore() throws Exception {
      start(new Factory("first", NodeStopTest.this::beginStop), new Factory("second", () -> {}));
      stop.join();
      assertThat(events).containsExactly("first started", "first drained", "first closed");
    }

    // Guards against a stop that hangs or fails because the start fails meanwhile.
    @Test
    void endsIfTheStartFails() throws Exception {
      Factory failing =
          new Factory(
              "failing",
              () -> {
                beginStop();
                throw new ClementinefordException(ErrorKind.LOCAL_RESOURCE, "the port is in use");
              });
      assertThatThrownBy(() -> start(new Factory("first", () -> {}), failing))
          .isInstanceOf(ClementinefordException.class);
      stop.join();
      assertThat(events).containsExactly("first started", "first closed");
    }
  }

  // Guards against components that do not know when the process ends their work.
  @Test
  void tellsComponentsItsEnd() throws Exception {
    Factory component = new Factory("first", () -> {});
    start(component);
    node.stop();
    assertThat(component.endNanos)
        .isEqualTo(fleet.time.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_MS));
  }

  /** Action of a component at its start. */
  private interface StartAction {
    void run() throws ClementinefordException;
  }

  /** Creates a component that records its events. */
  private final class Factory implements NodeComponentFactory, NodeComponent {
    private final String name;
    private final StartAction startAction;
    private volatile long endNanos;

    Factory(String name, StartAction startAction) {
      this.name = name;
      this.startAction = startAction;
    }

    @Override
    public String name() {
      return name;
    }

    @Override
    public VmRole role() {
      return VmRole.ENTRY;
    }

    @Override
    public int order() {
      return 0;
    }

    @Override
    public List<Setting<?>> settings() {
      return List.of();
    }

    @Override
    public NodeComponent create(NodeContext context, Settings settings) {
      return this;
    }

    @Override
    public void start() throws ClementinefordException {
      startAction.run();
      events.add(name + " started");
    }

    @Override
    public CompletableFuture<Void> drain(long endNanos) {
      this.endNanos = endNanos;
      events.add(name + " drained");
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public void close() {
      events.add(name + " closed");
    }
  }
}
