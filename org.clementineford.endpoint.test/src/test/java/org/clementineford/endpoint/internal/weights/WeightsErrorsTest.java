package org.clementineford.endpoint.internal.weights;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.platform.ModelEngine;
import org.clementineford.kernel.platform.WeightSource;
import org.clementineford.testing.VirtualTime;
import org.clementineford.weights.TransferLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class WeightsErrorsTest {
  private static final String FAILURE = "by the test";
  private static final int LENGTH = 1050;

  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final VirtualTime time = new VirtualTime(0);
  private final MemoryOrigin origin = new MemoryOrigin();

  @AfterEach
  void stop() {
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Returns whether a node without orders serves a version in time. */
  private boolean serves(WeightSource source, ModelEngine engine) throws Exception {
    try (WeightsTestNode node =
        new WeightsTestNode(
            "vm-1",
            eventLoops,
            time,
            time,
            source,
            engine,
            Runnable::run,
            TransferLimits.DEFAULT)) {
      run(() -> node.setTarget(7, "v1", false));
      for (int i = 0; i < 120; i++) {
        run(() -> time.advance(1, TimeUnit.SECONDS));
      }
      return node.servedVersion().isPresent();
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

  // Guards against a VM that never asks the origin again after one answer that is not its manifest.
  @ParameterizedTest
  @EnumSource
  void manifestIsReadAgain(WrongManifest wrong) throws Exception {
    origin.publish("v1", LENGTH);
    origin.publish("v2", LENGTH);
    WeightSource source =
        new WeightSource() {
          private int reads;

          @Override
          public CompletableFuture<byte[]> manifest(String model, String version) {
            reads++;
            return reads == 1 ? wrong.answer(origin) : origin.manifest(model, version);
          }

          @Override
          public CompletableFuture<byte[]> read(
              String model, String version, long offset, int length) {
            return origin.read(model, version, offset, length);
          }
        };
    assertThat(serves(source, new WeightsTestNode.RecordingEngine())).isTrue();
  }

  // Guards against a VM that never loads again after one order to its engine could not be sent.
  @Test
  void engineIsOrderedAgainAfterAnError() throws Exception {
    origin.publish("v1", LENGTH);
    WeightsTestNode.RecordingEngine engine = new WeightsTestNode.RecordingEngine();
    ModelEngine failingOnce =
        new ModelEngine() {
          private boolean failed;

          @Override
          public CompletableFuture<LoadedVersion> load(LoadOrder order) {
            if (!failed) {
              failed = true;
              throw new StackOverflowError(FAILURE);
            }
            return engine.load(order);
          }

          @Override
          public CompletableFuture<EngineLoad> readLoad() {
            return engine.readLoad();
          }
        };
    assertThat(serves(origin, failingOnce)).isTrue();
  }

  /** What the origin answers once instead of the manifest. */
  private enum WrongManifest {
    OTHER_VERSION {
      @Override
      CompletableFuture<byte[]> answer(MemoryOrigin origin) {
        return origin.manifest(WeightsTestNode.MODEL, "v2");
      }
    },
    NULL {
      @Override
      CompletableFuture<byte[]> answer(MemoryOrigin origin) {
        return json("null");
      }
    },
    WITHOUT_FIELDS {
      @Override
      CompletableFuture<byte[]> answer(MemoryOrigin origin) {
        return json("{}");
      }
    },
    WITHOUT_DIGESTS {
      @Override
      CompletableFuture<byte[]> answer(MemoryOrigin origin) {
        String whole = new String(origin.manifestOf("v1").toJson(), StandardCharsets.UTF_8);
        return json(whole.replaceAll(",?\"chunkDigests\":\\[[^]]*]", ""));
      }
    },
    THROWS {
      @Override
      CompletableFuture<byte[]> answer(MemoryOrigin origin) {
        throw new StackOverflowError(FAILURE);
      }
    };

    private static CompletableFuture<byte[]> json(String text) {
      return CompletableFuture.completedFuture(text.getBytes(StandardCharsets.UTF_8));
    }

    abstract CompletableFuture<byte[]> answer(MemoryOrigin origin);
  }
}
