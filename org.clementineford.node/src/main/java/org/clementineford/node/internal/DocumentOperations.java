package org.clementineford.node.internal;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.clementineford.configuration.Document;
import org.clementineford.configuration.DocumentEdit;
import org.clementineford.configuration.DocumentWrite;
import org.clementineford.configuration.errors.DocumentException;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.PlatformException;
import org.clementineford.kernel.platform.StoredObject;
import org.clementineford.kernel.platform.VersionedObjectStore;
import org.clementineford.kernel.timeline.EventKind;
import org.clementineford.kernel.timeline.Timeline;

/** Reads and changes the stored document for operators. */
public final class DocumentOperations {
  private static final long DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final long RETRY_MS = 200;

  private final VersionedObjectStore store;
  private final StoredRevision storedRevision;
  private final ConfigurationAgent configuration;
  private final Scheduler scheduler;
  private final NanoClock nanoClock;
  private final EpochClock epochClock;
  private final Timeline timeline;

  /**
   * Creates the operations.
   *
   * @param store the platform's object API
   * @param configuration agent that receives each accepted change immediately
   * @param scheduler timers
   * @param nanoClock monotonic clock
   * @param epochClock hybrid clock in milliseconds, so that readers of the document order their
   *     events after the change
   * @param timeline events of this process
   */
  public DocumentOperations(
      VersionedObjectStore store,
      ConfigurationAgent configuration,
      Scheduler scheduler,
      NanoClock nanoClock,
      EpochClock epochClock,
      Timeline timeline) {
    this.store = store;
    this.storedRevision = new StoredRevision(store);
    this.configuration = configuration;
    this.scheduler = scheduler;
    this.nanoClock = nanoClock;
    this.epochClock = epochClock;
    this.timeline = timeline;
  }

  /**
   * Reads the document from the platform.
   *
   * @return a future of the document, at least as new as the one in force here
   */
  public CompletableFuture<Document> read() {
    return store
        .get(Document.OBJECT_KEY)
        .thenCompose(
            object -> {
              try {
                Document read =
                    object.isEmpty() ? Document.EMPTY : Document.parse(object.get().value());
                Document known = configuration.document();
                return CompletableFuture.completedFuture(
                    read.revision() < known.revision() ? known : read);
              } catch (DocumentException e) {
                return CompletableFuture.failedFuture(e);
              }
            });
  }

  /**
   * Applies a change. Repeating the same change identity has no further effect.
   *
   * @param edit the change
   * @return the result; fails with {@code DocumentException} if the edit cannot be applied, or with
   *     {@code PlatformException} of kind {@code UNAVAILABLE} if the change certainly has no
   *     effect, or of kind {@code OUTCOME_UNKNOWN} if it may take effect
   */
  public CompletableFuture<DocumentEdit.Result> apply(DocumentEdit edit) {
    Attempt attempt = new Attempt(edit);
    attempt.step();
    return attempt.future;
  }

  private final class Attempt {
    private final CompletableFuture<DocumentEdit.Result> future = new CompletableFuture<>();
    private final DocumentWrite write;
    private final long startNanos = nanoClock.nanoTime();

    Attempt(DocumentEdit edit) {
      this.write = new DocumentWrite(edit, configuration.document().revision());
    }

    void step() {
      switch (write.step()) {
        case READ -> store.get(Document.OBJECT_KEY).whenComplete(this::onRead);
        case WRITE -> write().whenComplete(this::onWritten);
        default -> succeed();
      }
    }

    private CompletableFuture<Long> write() {
      long version = write.expectedVersion();
      return version == 0
          ? store.create(Document.OBJECT_KEY, write.value())
          : store.update(Document.OBJECT_KEY, version, write.value());
    }

    private void onRead(Optional<StoredObject> object, Throwable failure) {
      if (failure != null) {
        onFailure(failure);
        return;
      }
      try {
        write.onRead(object, epochClock.time());
      } catch (DocumentException e) {
        future.completeExceptionally(e);
        return;
      }
      if (write.step() == DocumentWrite.Step.READ) {
        // The platform returned an older document than this process has seen.
        retryLater("the platform returned an outdated document");
      } else {
        step();
      }
    }

    private void onWritten(Long version, Throwable failure) {
      if (failure == null) {
        write.onWritten();
        step();
      } else {
        onFailure(failure);
      }
    }

    private void onFailure(Throwable failure) {
      ClementinefordException typed = ClementinefordExceptions.from(failure);
      if (typed.kind() == ErrorKind.INTERNAL) {
        future.completeExceptionally(typed);
        return;
      }
      write.onFailed(typed.kind());
      if (typed.kind() == ErrorKind.CONFLICT) {
        step();
      } else {
        retryLater(typed.getMessage());
      }
    }

    private void retryLater(String cause) {
      if (nanoClock.nanoTime() - startNanos < DEADLINE_NANOS) {
        scheduler.schedule(this::step, RETRY_MS, TimeUnit.MILLISECONDS);
        return;
      }
      ErrorKind kind = write.failureIfAbandoned();
      String consequence =
          kind == ErrorKind.OUTCOME_UNKNOWN
              ? "the change may or may not take effect; repeat it with the same --change identity"
              : "the change was not made; try again later";
      future.completeExceptionally(new PlatformException(kind, cause + ": " + consequence));
    }

    private void succeed() {
      DocumentEdit.Result result = write.result();
      timeline.record(
          EventKind.REVISION_ACCEPTED,
          "revision",
          Long.toString(result.change().revision()),
          "section",
          result.change().section(),
          "team",
          result.change().team(),
          "change",
          result.change().identity());
      configuration.offer(result.document(), "operator");
      storedRevision.raise(result.document().revision()).thenRun(() -> future.complete(result));
    }
  }
}
