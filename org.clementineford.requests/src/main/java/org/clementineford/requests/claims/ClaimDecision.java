package org.clementineford.requests.claims;

import java.util.Optional;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.requests.RunState;
import org.clementineford.requests.attempts.EntryRefusal;
import org.clementineford.requests.claims.ClaimAction.AskEndpoint;
import org.clementineford.requests.claims.ClaimAction.Create;
import org.clementineford.requests.claims.ClaimAction.Dispatch;
import org.clementineford.requests.claims.ClaimAction.Move;
import org.clementineford.requests.claims.ClaimAction.Prepare;
import org.clementineford.requests.claims.ClaimAction.Read;
import org.clementineford.requests.claims.ClaimAction.Refuse;
import org.clementineford.requests.claims.ClaimAction.Replay;

/**
 * Decides how one submission of a non-idempotent request with an idempotency key acquires the claim
 * to run it, or gets the answer of an earlier submission. Not thread-safe.
 *
 * <p>The stored object of the claim always names the only attempt that may run. The claim is moved
 * to another attempt only after the endpoint has proven that the named attempt was not run and will
 * not be run.
 */
public final class ClaimDecision {
  // Each round is caused by a competing submission or a fault. More rounds indicate that the
  // platform or the caller misbehaves, and then an immediate error serves the caller better.
  private static final int MAX_ROUNDS = 8;

  private final String digest;
  private Claim own;
  private Claim current;
  private long version;
  private int rounds;
  private boolean otherMayRun;
  private boolean readWithoutEndpoint;

  /**
   * Creates the decision logic of one submission.
   *
   * @param digest digest of the request
   */
  public ClaimDecision(String digest) {
    this.digest = digest;
  }

  /**
   * Returns the first action.
   *
   * @return the first action
   */
  public ClaimAction start() {
    return new Prepare();
  }

  /**
   * Handles a newly prepared attempt.
   *
   * @param claim claim that names the attempt
   * @return create, or move if the object exists
   */
  public ClaimAction prepared(Claim claim) {
    own = claim;
    return version == 0 ? new Create(claim) : new Move(version, claim);
  }

  /**
   * Handles the case that no endpoint can accept an attempt now.
   *
   * @return read the claim, because an earlier submission may have stored its answer there; refuse
   *     if the claim was read before
   */
  public ClaimAction noEndpoint() {
    if (version != 0 || readWithoutEndpoint) {
      return new Refuse(EntryRefusal.NO_ENDPOINT, runState());
    }
    readWithoutEndpoint = true;
    return new Read();
  }

  /**
   * Handles a successful write of the claim.
   *
   * @param written version of the object
   * @return dispatch
   */
  public ClaimAction written(long written) {
    version = written;
    current = own;
    otherMayRun = false;
    return new Dispatch(own);
  }

  /**
   * Handles a write of the claim that failed or whose reply was lost.
   *
   * @param kind kind of the platform error
   * @return read the object back, or refuse if the write definitely had no effect
   */
  public ClaimAction writeFailed(ErrorKind kind) {
    if (kind == ErrorKind.CONFLICT) {
      otherMayRun = true;
      return nextRound(new Read());
    }
    return kind == ErrorKind.OUTCOME_UNKNOWN ? nextRound(new Read()) : platformUnavailable();
  }

  /**
   * Handles a successful read of the object.
   *
   * @param claim content of the object, or empty if there is none
   * @param readVersion version of the object
   * @return the next action
   */
  public ClaimAction read(Optional<Claim> claim, long readVersion) {
    if (claim.isEmpty()) {
      version = 0;
      otherMayRun = false;
      return nextRound(new Prepare());
    }
    current = claim.get();
    version = readVersion;
    if (!current.digest().equals(digest)) {
      return new Refuse(EntryRefusal.KEY_REUSED, RunState.NOT_RUN);
    }
    if (own != null && current.attemptId().equals(own.attemptId()) && !current.done()) {
      return written(readVersion);
    }
    otherMayRun = true;
    return current.done() ? new Replay(current) : new AskEndpoint(current);
  }

  /**
   * Handles a failed read of the object.
   *
   * @return refuse; no attempt of this submission was dispatched
   */
  public ClaimAction readFailed() {
    return platformUnavailable();
  }

  /**
   * Handles the report of the endpoint in the claim.
   *
   * @param status status of the attempt
   * @param answer answer of a finished attempt, or null if it was not stored
   * @return the next action
   */
  public ClaimAction reported(AttemptStatus status, StoredAnswer answer) {
    return switch (status) {
      case FINISHED -> {
        current = current.finished(answer);
        yield new Replay(current);
      }
      case RUNNING -> new AskEndpoint(current);
      case REVOKED -> notRun();
      case FORGOTTEN, UNREACHABLE -> new Refuse(EntryRefusal.OUTCOME_UNKNOWN, RunState.UNKNOWN);
    };
  }

  /**
   * Handles the proof that the attempt in the claim was not run and will not be run.
   *
   * @return prepare another attempt, to which the claim is moved
   */
  public ClaimAction notRun() {
    otherMayRun = false;
    return nextRound(new Prepare());
  }

  /**
   * Returns the knowledge about whether a request with the key was run, not counting a dispatch in
   * progress.
   *
   * @return {@code UNKNOWN} while an attempt of another submission may run, else {@code NOT_RUN}
   */
  public RunState runState() {
    return otherMayRun ? RunState.UNKNOWN : RunState.NOT_RUN;
  }

  /**
   * Returns the claim that was last read or written.
   *
   * @return the claim, or null before the first
   */
  public Claim current() {
    return current;
  }

  /**
   * Returns the version of the object that was last read or written.
   *
   * @return the version, or 0 if there is none
   */
  public long version() {
    return version;
  }

  private ClaimAction nextRound(ClaimAction action) {
    rounds++;
    return rounds <= MAX_ROUNDS ? action : platformUnavailable();
  }

  private ClaimAction platformUnavailable() {
    return new Refuse(EntryRefusal.PLATFORM_DOWN, runState());
  }
}
