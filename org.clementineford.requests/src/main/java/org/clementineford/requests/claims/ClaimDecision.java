package org.clementineford.requests.claims;

import java.util.Optional;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.requests.RunState;
import org.clementineford.requests.attempts.EntryRefusal;
import org.clementineford.requests.claims.ClaimAction.Ask;
import org.clementineford.requests.claims.ClaimAction.Create;
import org.clementineford.requests.claims.ClaimAction.Dispatch;
import org.clementineford.requests.claims.ClaimAction.Move;
import org.clementineford.requests.claims.ClaimAction.Prepare;
import org.clementineford.requests.claims.ClaimAction.Read;
import org.clementineford.requests.claims.ClaimAction.Refuse;
import org.clementineford.requests.claims.ClaimAction.Replay;

/**
 * Decides how one submission of a non-idempotent request with a key gets the right to run it, or
 * the answer of an earlier submission. Not safe for use by several threads.
 *
 * <p>The object of the claim always names the only attempt that may run. It is moved to another
 * attempt only after the endpoint proved that the named one was not run and never will be.
 */
public final class ClaimDecision {
  // Each round needs a competing submission or a fault; more of them mean that the platform or the
  // caller misbehaves, and the caller is better served by an error at once.
  private static final int MAX_ROUNDS = 8;

  private final String digest;
  private Claim own;
  private Claim current;
  private long version;
  private int rounds;
  private boolean otherMayRun;
  private boolean readWithoutEndpoint;

  /**
   * Creates the decision of one submission.
   *
   * @param digest digest of the request
   */
  public ClaimDecision(String digest) {
    this.digest = digest;
  }

  /**
   * Starts.
   *
   * @return the first action
   */
  public ClaimAction start() {
    return new Prepare();
  }

  /**
   * An attempt was named.
   *
   * @param claim claim with that attempt
   * @return create or move
   */
  public ClaimAction prepared(Claim claim) {
    own = claim;
    return version == 0 ? new Create(claim) : new Move(version, claim);
  }

  /**
   * No endpoint can be given an attempt now.
   *
   * @return read the claim, because an earlier submission may have its answer there; refuse if that
   *     was done
   */
  public ClaimAction noEndpoint() {
    if (version != 0 || readWithoutEndpoint) {
      return new Refuse(EntryRefusal.NO_ENDPOINT, knowledge());
    }
    readWithoutEndpoint = true;
    return new Read();
  }

  /**
   * The write of the claim took effect.
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
   * The write of the claim failed or its reply was lost.
   *
   * @param kind kind of the platform's failure
   * @return read back, or refuse if the write certainly had no effect
   */
  public ClaimAction writeFailed(ErrorKind kind) {
    if (kind == ErrorKind.CONFLICT) {
      otherMayRun = true;
      return nextRound(new Read());
    }
    return kind == ErrorKind.OUTCOME_UNKNOWN ? nextRound(new Read()) : platformUnavailable();
  }

  /**
   * The object was read.
   *
   * @param claim its value, or empty if there is none
   * @param readVersion its version
   * @return what follows from it
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
    return current.done() ? new Replay(current) : new Ask(current);
  }

  /**
   * The object could not be read.
   *
   * @return refuse; nothing of this submission was dispatched
   */
  public ClaimAction readFailed() {
    return platformUnavailable();
  }

  /**
   * The endpoint that the claim names was asked.
   *
   * @param report what it said
   * @param answer answer of a finished attempt, or null if it was not kept
   * @return what follows from it
   */
  public ClaimAction reported(AttemptReport report, StoredAnswer answer) {
    return switch (report) {
      case FINISHED -> {
        current = current.finished(answer);
        yield new Replay(current);
      }
      case RUNNING -> new Ask(current);
      case REVOKED -> notRun();
      case FORGOTTEN, UNREACHABLE -> new Refuse(EntryRefusal.OUTCOME_UNKNOWN, RunState.UNKNOWN);
    };
  }

  /**
   * The attempt that the claim names was proven not to run.
   *
   * @return prepare a move to another attempt
   */
  public ClaimAction notRun() {
    otherMayRun = false;
    return nextRound(new Prepare());
  }

  /**
   * Returns what is known about a run of the key, not counting a dispatch in progress.
   *
   * @return UNKNOWN while an attempt of another submission may run
   */
  public RunState knowledge() {
    return otherMayRun ? RunState.UNKNOWN : RunState.NOT_RUN;
  }

  /**
   * Returns the claim that this decision saw or wrote last.
   *
   * @return null before the first
   */
  public Claim current() {
    return current;
  }

  /**
   * Returns the version of the object that this decision saw or wrote last.
   *
   * @return 0 if there is none
   */
  public long version() {
    return version;
  }

  private ClaimAction nextRound(ClaimAction action) {
    rounds++;
    return rounds <= MAX_ROUNDS ? action : platformUnavailable();
  }

  private ClaimAction platformUnavailable() {
    return new Refuse(EntryRefusal.PLATFORM_DOWN, knowledge());
  }
}
