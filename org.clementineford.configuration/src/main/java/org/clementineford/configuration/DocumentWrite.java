package org.clementineford.configuration;

import java.util.Optional;
import org.clementineford.configuration.errors.DocumentException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.platform.StoredObject;

/**
 * Steps that bring one edit into the object API exactly once: read, apply, conditional update. A
 * lost reply is followed by a read that looks for the identity of the change. Not thread-safe.
 */
public final class DocumentWrite {
  private final DocumentEdit edit;
  private final long newestRevisionSeen;
  private Step step = Step.READ;
  private DocumentEdit.Result result;
  private long expectedVersion;
  private boolean replyLost;

  /** What to do next. */
  public enum Step {
    /** Read the object. */
    READ,
    /** Write {@link #value()} if the object has version {@link #expectedVersion()}. */
    WRITE,
    /** The change is in the document; see {@link #result()}. */
    DONE
  }

  /**
   * Creates the steps of an edit.
   *
   * @param edit the edit
   * @param newestRevisionSeen highest revision that this process has seen; a read below it is stale
   */
  public DocumentWrite(DocumentEdit edit, long newestRevisionSeen) {
    this.edit = edit;
    this.newestRevisionSeen = Math.max(newestRevisionSeen, edit.baseRevision());
  }

  /**
   * Returns what to do next.
   *
   * @return the step
   */
  public Step step() {
    return step;
  }

  /**
   * Returns the value to write.
   *
   * @return stored form of the new document
   */
  public byte[] value() {
    return result.document().toJson();
  }

  /**
   * Returns the condition of the write.
   *
   * @return version of the object, or 0 if it must not exist
   */
  public long expectedVersion() {
    return expectedVersion;
  }

  /**
   * Returns the result after the step DONE.
   *
   * @return the result
   */
  public DocumentEdit.Result result() {
    return result;
  }

  /**
   * Takes in a read object.
   *
   * @param object the object, or empty if there is none
   * @param epochMs wall-clock time, only for display
   * @throws DocumentException if the edit cannot be applied; nothing was or will be written by it
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

  /** Takes in the success of the write. */
  public void onWritten() {
    step = Step.DONE;
  }

  /**
   * Takes in the failure of a read or write.
   *
   * @param kind kind of the failure
   */
  public void onFailed(ErrorKind kind) {
    replyLost |= step == Step.WRITE && kind == ErrorKind.OUTCOME_UNKNOWN;
    step = Step.READ;
  }

  /**
   * Returns what to report if the steps are given up.
   *
   * @return {@code OUTCOME_UNKNOWN} if a write may have taken effect, else {@code UNAVAILABLE}
   */
  public ErrorKind givenUp() {
    return replyLost ? ErrorKind.OUTCOME_UNKNOWN : ErrorKind.UNAVAILABLE;
  }
}
