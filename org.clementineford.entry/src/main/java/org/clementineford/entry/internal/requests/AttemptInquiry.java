package org.clementineford.entry.internal.requests;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.clementineford.kernel.Scheduler;
import org.clementineford.requests.claims.AttemptStatus;
import org.clementineford.requests.claims.Claim;
import org.clementineford.transport.ExchangeFailure;
import org.clementineford.transport.ExchangeListener;
import org.clementineford.transport.PeerInfo;
import org.clementineford.wire.Payload;
import org.clementineford.wire.ReportOrRevoke;
import org.clementineford.wire.RunReport;

/**
 * Asks an endpoint to report or revoke an attempt, and retries after a lost connection. The inquiry
 * does not contain the idempotency key: the claim decides which attempt of a key runs, and a
 * revocation of the key would make this endpoint refuse the next attempt.
 */
final class AttemptInquiry {
  // A restarted or replaced endpoint refuses connections immediately. An unresponsive connection is
  // closed at its 3 s deadline, after which a new one works.
  private static final int MAX_TRIES = 4;
  private static final long RETRY_DELAY_MS = 250;

  private final PeerExchanges connections;
  private final Scheduler scheduler;

  AttemptInquiry(PeerExchanges connections, Scheduler scheduler) {
    this.connections = connections;
    this.scheduler = scheduler;
  }

  /** Receives the result of an inquiry. */
  interface Result {
    /**
     * Called once, when the endpoint has answered or is considered unreachable.
     *
     * @param status state of the attempt
     * @param details the endpoint's report, or null if there is none
     */
    void reported(AttemptStatus status, RunReport details);
  }

  /**
   * Asks for a report or revocation of the attempt that a claim names. The condition {@code
   * stillAwaited} is checked before each retry; if it is false, the inquiry ends.
   */
  void ask(Claim claim, String account, BooleanSupplier stillAwaited, Result result) {
    ask(claim, account, stillAwaited, result, 1);
  }

  private void ask(
      Claim claim, String account, BooleanSupplier stillAwaited, Result result, int tryNumber) {
    ReportOrRevoke inquiry =
        new ReportOrRevoke()
            .setAttemptId(claim.attemptId())
            .setClientAccount(account)
            .setTargetIncarnation(claim.incarnation())
            .setWaitForEnd(true);
    ExchangeListener listener =
        new ExchangeListener() {
          @Override
          public void onPayload(Payload payload, boolean last) {
            if (payload.isSetRunReport()) {
              received(claim, payload.getRunReport(), result);
            } else if (last) {
              result.reported(AttemptStatus.UNREACHABLE, null);
            }
          }

          @Override
          public void onFailure(ExchangeFailure failure) {
            if (tryNumber >= MAX_TRIES || !stillAwaited.getAsBoolean()) {
              result.reported(AttemptStatus.UNREACHABLE, null);
              return;
            }
            scheduler.schedule(
                () -> ask(claim, account, stillAwaited, result, tryNumber + 1),
                RETRY_DELAY_MS,
                TimeUnit.MILLISECONDS);
          }
        };
    if (isOtherIncarnation(claim)) {
      result.reported(AttemptStatus.FORGOTTEN, null);
      return;
    }
    connections.open(claim.address(), Payload.reportOrRevoke(inquiry), listener);
  }

  private boolean isOtherIncarnation(Claim claim) {
    PeerInfo peer = connections.peer(claim.address());
    return peer.identity() != null
        && (!peer.identity().getVm().equals(claim.vm())
            || peer.identity().getIncarnation() != claim.incarnation());
  }

  private static void received(Claim claim, RunReport report, Result result) {
    if (!claim.attemptId().equals(report.getAttemptId())) {
      result.reported(AttemptStatus.UNREACHABLE, null);
      return;
    }
    AttemptStatus status =
        switch (report.getPhase()) {
          case REVOKED -> AttemptStatus.REVOKED;
          case RUNNING -> AttemptStatus.RUNNING;
          case FINISHED -> AttemptStatus.FINISHED;
          case FORGOTTEN -> AttemptStatus.FORGOTTEN;
        };
    result.reported(status, report);
  }
}
