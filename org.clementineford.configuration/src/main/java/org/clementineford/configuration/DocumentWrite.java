package org.clementineford.configuration;

import java.util.Optional;
import org.clementineford.configuration.errors.DocumentException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.platform.StoredObject;

/**
 * State machine that writes one edit to the object store exactly once: it reads the document,
 * applies the edit and updates the object conditionally. If the reply to the write is lost, it
 * reads the document again and looks for the identifier of the change. The caller makes the calls
 * and passes in their results. Not thread-safe.
 */
public final class DocumentWrite {
  private final DocumentEdit edit;
  private final long newestRevisionSeen;
  private Step step = Step.READ;
  private DocumentEdit.Result result;
  private long expectedVersion;
  private boolean writeOutcomeUnknown;

  /** The next action of the caller. */
  public enum Step {
    /** Read the object. */
    READ,
    /** Write {@link #value()} if the object has version {@link #expectedVersion()}. */
    WRITE,
    /** The stored document includes the change; see {@link #result()}. */
    DONE
  }

  /**
   * Creates the state machine for an edit.
   *
   * @param edit the edit
   * @param newestRevisionSeen highest document revision that this process has seen; a read that
   *     returns a lower revision is stale
   */
  public DocumentWrite(DocumentEdit edit, long newestRevisionSeen) {
    this.edit = edit;
    this.newestRevisionSeen = Math.max(newestRevisionSeen, edit.baseRevision());
  }

  /**
   * Returns the next action of the caller.
   *
   * @return the step
   */
  public Step step() {
    return step;
  }

  /**
   * Returns the value to write in step {@code WRITE}.
   *
   * @return JSON form of the new document
   */
  public byte[] value() {
    return result.document().toJson();
  }

  /**
   * Returns the version that the object must have for the write to succeed.
   *
   * @return the version, or 0 if the object must not exist
   */
  public long expectedVersion() {
    return expectedVersion;
  }

  /**
   * Returns the result of the edit, once the step is {@code DONE}.
   *
   * @return the result
   */
  public DocumentEdit.Result result() {
    return result;
  }

  /**
   * Handles the result of a read. After a stale read the step stays {@code READ}.
   *
   * @param object the object, or empty if there is none
   * @param epochMs wall-clock time, only for display
   * @throws DocumentException if the edit cannot be applied; it was not written and will not be
   */
  public void onRead(Optional<StoredObject> object, long epochMs) throws DocumentException {
    Document current = object.isEmpty() ? Document.EMPTY : Document.parse(object.get().value());
    if (current.revision() < newestRevisionSeen) {
      return;
    }
    expectedVersion = object.map(StoredObject::version).orElse(0L);
    result = edit.apply(current, epochMs);
    step = result.alreadyApplied() ? Step.DONE : Step.WRITE;
  }

  /** Handles a successful write. */
  public void onWritten() {
    step = Step.DONE;
  }

  /**
   * Handles a failed read or write.
   *
   * @param kind kind of the failure
   */
  public void onFailed(ErrorKind kind) {
    writeOutcomeUnknown |= step == Step.WRITE && kind == ErrorKind.OUTCOME_UNKNOWN;
    step = Step.READ;
  }

  /**
   * Returns the failure to report if the caller stops before the step is {@code DONE}.
   *
   * @return {@code OUTCOME_UNKNOWN} if a write may have taken effect, otherwise {@code UNAVAILABLE}
   */
  public ErrorKind failureIfAbandoned() {
    return writeOutcomeUnknown ? ErrorKind.OUTCOME_UNKNOWN : ErrorKind.UNAVAILABLE;
  }
}
