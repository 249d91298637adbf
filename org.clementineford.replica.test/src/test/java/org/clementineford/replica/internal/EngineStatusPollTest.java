package org.clementineford.replica.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.PlatformException;
import org.clementineford.replica.EngineStatus;
import org.clementineford.replica.LocalEngine;
import org.junit.jupiter.api.Test;

class EngineStatusPollTest {
  private static final EngineStatus SOUND = new EngineStatus(1, 2, false, 0, 0, 0, 1, false, 1.0);

  private final List<EngineStatus> received = new ArrayList<>();
  private CompletableFuture<EngineStatus> next = new CompletableFuture<>();
  private final EngineStatusPoll poll =
      new EngineStatusPoll(
          new LocalEngine() {
            @Override
            public CompletableFuture<EngineStatus> status() {
              if (next == null) {
                throw new StackOverflowError("by the test");
              }
              return next;
            }

            @Override
            public CompletableFuture<Void> stage(String model, int chunk, byte[] bytes) {
              throw new AssertionError();
            }

            @Override
            public CompletableFuture<Optional<byte[]>> staged(String model, int chunk) {
              throw new AssertionError();
            }

            @Override
            public CompletableFuture<Void> load(String model, long version) {
              throw new AssertionError();
            }
          },
          received::add);

  private void read(EngineStatus status) {
    next = CompletableFuture.completedFuture(status);
    poll.read();
  }

  private void fail(Exception failure) {
    next = CompletableFuture.failedFuture(new CompletionException(failure));
    poll.read();
  }

  private static Exception malformed() {
    return new ClementinefordException(ErrorKind.CORRUPT_DATA, "malformed");
  }

  // Guards against an engine that counts as restarted, or without weights, after a spoilt report.
  @Test
  void singleMalformedReportsChangeNothing() {
    read(SOUND);
    fail(malformed());
    fail(malformed());
    read(SOUND);
    fail(malformed());
    assertThat(received).containsExactly(SOUND, SOUND);
  }

  // Guards against using the last status of an engine that sends no sound report any more.
  @Test
  void engineIsUnreachableAfterSeveralInSuccession() {
    read(SOUND);
    fail(malformed());
    fail(malformed());
    fail(malformed());
    assertThat(received).containsExactly(SOUND, EngineStatus.UNREACHABLE);
  }

  // Guards against using the status of an engine that has ended.
  @Test
  void engineIsUnreachableIfItDoesNotAnswer() {
    read(SOUND);
    fail(new PlatformException(ErrorKind.UNAVAILABLE, "refused"));
    assertThat(received).containsExactly(SOUND, EngineStatus.UNREACHABLE);
  }

  // Guards against a poll that ends for good because one read could not be sent.
  @Test
  void readsOnAfterAnError() {
    next = null;
    try {
      poll.read();
    } catch (StackOverflowError e) {
      assertThat(e).hasMessage("by the test");
    }
    read(SOUND);
    assertThat(received).endsWith(SOUND);
  }
}
