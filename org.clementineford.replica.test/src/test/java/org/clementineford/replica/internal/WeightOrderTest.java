package org.clementineford.replica.internal;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.replica.EngineStatus;
import org.clementineford.serving.model.WeightLayout;
import org.clementineford.testing.VirtualTime;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.weights.TransferLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class WeightOrderTest {
  private static final String FAILURE = "by the test";

  private final VirtualTime time = new VirtualTime(0);
  private final MultiThreadIoEventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final SimulatedEngine engine = new SimulatedEngine();
  private final HostPort address = new HostPort("127.0.0.1", 1);
  private final WeightRollout rollout =
      new WeightRollout(
          new TransferContext(
              new VmIdentity("a", VmRole.ENDPOINT, "x", "r", 0, address),
              time,
              time,
              new HttpClient(eventLoops, LinkShaping.NONE),
              engine,
              () -> address,
              TransferLimits.DEFAULT),
          engine,
          new ActivationSchedule(8_000),
          () -> {});

  @BeforeEach
  void setModel() {
    rollout.setModel("m", Optional.of(new WeightLayout(SimulatedEngine.CHUNKS, 3)));
    rollout.statusChanged(engine.status);
  }

  @AfterEach
  void stop() {
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** Advances the time; the status of the engine is polled every 100 ms. */
  private void advance(long millis) {
    for (long i = 0; i < millis; i += 100) {
      run(() -> time.advance(100, TimeUnit.MILLISECONDS));
      run(() -> rollout.statusChanged(engine.status));
    }
  }

  private void nameVersion(long version) {
    run(() -> rollout.updateTarget("m", version, time.nanoTime(), true));
  }

  /** Runs a task as an event loop does, which goes on after an error. */
  private static void run(Runnable task) {
    try {
      task.run();
    } catch (StackOverflowError e) {
      assertThat(e).hasMessage(FAILURE);
    }
  }

  private static void assertWhole(Map<Integer, byte[]> staged, long version) {
    for (int i = 0; i < SimulatedEngine.CHUNKS; i++) {
      assertThat(staged.get(i)).isEqualTo(SimulatedEngine.chunkOf(version, i));
    }
  }

  @Nested
  class AfterStaging {
    // Guards against an order of a version that was superseded while the process was paused.
    @Test
    void supersededVersionIsNotOrdered() {
      engine.afterStaging =
          () -> {
            nameVersion(3);
            time.advance(10, TimeUnit.SECONDS);
          };
      nameVersion(2);
      advance(8_000);
      assertThat(engine.loaded).isNotEmpty().containsOnly(3L);
      assertWhole(engine.stagedAtOrders.get(0), 3);
    }

    // Guards against a second order of what an order of the process before already brought.
    @ParameterizedTest
    @EnumSource(OtherOrder.class)
    void versionIsNotOrderedAgain(OtherOrder other) {
      engine.afterStaging = () -> engine.status = other.status;
      nameVersion(2);
      advance(10_000);
      assertThat(engine.writes).isPositive();
      assertThat(engine.loaded).isEmpty();
    }

    // Guards against an order to an engine that restarted and lost a part of what was staged.
    @Test
    void engineThatRestartedIsStagedAgain() {
      engine.afterStaging =
          () -> {
            engine.staged.clear();
            engine.status = SimulatedEngine.statusOf(2, 0, false);
          };
      nameVersion(2);
      advance(10_000);
      assertThat(engine.loaded).isNotEmpty().containsOnly(2L);
      engine.stagedAtOrders.forEach(staged -> assertWhole(staged, 2));
    }

    // Guards against an order of chunks that may have become corrupt while the process was paused.
    @Test
    void chunksAreStagedAgainAfterPause() {
      engine.afterStaging =
          () -> {
            time.advance(5, TimeUnit.SECONDS);
            engine.staged.put(1, SimulatedEngine.chunkOf(9, 1));
          };
      nameVersion(2);
      advance(8_000);
      assertThat(engine.loaded).isNotEmpty().containsOnly(2L);
      engine.stagedAtOrders.forEach(staged -> assertWhole(staged, 2));
    }
  }

  // Guards against an engine that takes no requests and no weights for good after one error.
  @ParameterizedTest
  @EnumSource(FailingStep.class)
  void versionIsLoadedAfterAnError(FailingStep step) {
    step.fail(engine, new StackOverflowError(FAILURE));
    if (step == FailingStep.READING_STAGED_CHUNKS) {
      engine.status = SimulatedEngine.statusOf(1, 0, false);
      rollout.statusChanged(engine.status);
    }
    nameVersion(2);
    advance(10_000);
    assertThat(engine.loaded).isNotEmpty().containsOnly(2L);
    engine.status = SimulatedEngine.statusOf(1, 2, false);
    advance(200);
    assertThat(rollout.isChanging()).isFalse();
  }

  // Guards against a transfer that never ends because the list that was read again, instead of one
  // with a wrong digest, had another length; the configuration states no layout here.
  @ParameterizedTest
  @ValueSource(ints = {SimulatedEngine.CHUNKS - 1, SimulatedEngine.CHUNKS + 1})
  void versionIsLoadedAfterListOfOtherLength(int length) {
    rollout.setModel("m", Optional.empty());
    engine.wrongDigestInList = 1;
    engine.chunksInList = list -> list == 2 ? length : SimulatedEngine.CHUNKS;
    nameVersion(2);
    advance(10_000);
    assertThat(engine.listsRead).isEqualTo(3);
    assertThat(engine.loaded).isNotEmpty().containsOnly(2L);
    assertWhole(engine.stagedAtOrders.get(0), 2);
  }

  /** State that the order of another process leaves the engine in. */
  private enum OtherOrder {
    LOADING(SimulatedEngine.statusOf(1, 1, true)),
    LOADED(SimulatedEngine.statusOf(1, 2, false));

    private final EngineStatus status;

    OtherOrder(EngineStatus status) {
      this.status = status;
    }
  }

  /** Step towards an order that fails once. */
  private enum FailingStep {
    READING_DIGESTS {
      @Override
      void fail(SimulatedEngine engine, Error error) {
        engine.digestsError = error;
      }
    },
    READING_STAGED_CHUNKS {
      @Override
      void fail(SimulatedEngine engine, Error error) {
        engine.stagedError = error;
      }
    },
    STAGING {
      @Override
      void fail(SimulatedEngine engine, Error error) {
        engine.stageError = error;
      }
    },
    READING_STATUS {
      @Override
      void fail(SimulatedEngine engine, Error error) {
        engine.statusError = error;
      }
    },
    ORDERING {
      @Override
      void fail(SimulatedEngine engine, Error error) {
        engine.loadError = error;
      }
    };

    abstract void fail(SimulatedEngine engine, Error error);
  }
}
