package org.clementineford.entry.internal.requests;

import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.clementineford.kernel.timeline.EventKind;
import org.clementineford.requests.RunState;
import org.clementineford.requests.claims.AttemptStatus;
import org.clementineford.requests.claims.Claim;
import org.clementineford.requests.claims.ClaimAction;
import org.clementineford.requests.claims.ClaimDecision;
import org.clementineford.requests.claims.StoredAnswer;
import org.clementineford.wire.RunReport;

/** Executes the actions of one request's claim decision. Guarded by the lock of the request. */
final class ClaimCoordinator {
  private final EntryServices services;
  private final CallerRequest request;
  private final AttemptInquiry inquiry;
  private final InFlightRequest inFlightRequest;
  private final ClaimDecision decision;
  private final RequestEvents events;
  private final String objectKey;
  private AttemptTarget target;

  ClaimCoordinator(
      EntryServices services,
      CallerRequest request,
      AttemptInquiry inquiry,
      InFlightRequest inFlightRequest) {
    this.services = services;
    this.request = request;
    this.inquiry = inquiry;
    this.inFlightRequest = inFlightRequest;
    this.events = new RequestEvents(services, request);
    this.decision = new ClaimDecision(request.digest());
    this.objectKey = ClaimStore.objectKey(request.account(), request.key());
  }

  void start() {
    execute(decision.start());
  }

  void targetChosen(AttemptTarget chosen) {
    target = chosen;
    execute(decision.prepared(chosen.toClaim(request.digest())));
  }

  void noEndpointFound() {
    execute(decision.noEndpoint());
  }

  /** Moves the request to another attempt, after proof that the claimed attempt never runs. */
  void attemptNotRun() {
    execute(decision.notRun());
  }

  RunState knownRunState() {
    return decision.runState();
  }

  /** Records in the claim that the attempt has ended. The response does not wait for the write. */
  void recordFinished(StoredAnswer answer) {
    Claim current = decision.current();
    if (current == null || current.done() && current.answer() == null && answer == null) {
      return;
    }
    services
        .claims()
        .replace(objectKey, decision.version(), current.finished(answer))
        .whenComplete(
            (version, failure) ->
                services
                    .metrics()
                    .claimWrites
                    .labelValues(failure == null ? "done" : "done-failed")
                    .inc());
  }

  private void execute(ClaimAction action) {
    if (action instanceof ClaimAction.Prepare) {
      inFlightRequest.startNextAttempt();
    } else if (action instanceof ClaimAction.Create create) {
      write(services.claims().create(objectKey, create.claim()), EventKind.CLAIM_CREATED);
    } else if (action instanceof ClaimAction.Move move) {
      write(
          services.claims().replace(objectKey, move.version(), move.claim()),
          EventKind.CLAIM_MOVED);
    } else if (action instanceof ClaimAction.Read) {
      read();
    } else if (action instanceof ClaimAction.AskEndpoint ask) {
      inquiry.ask(
          ask.claim(), request.account(), inFlightRequest::isStillAwaited, this::attemptReported);
    } else if (action instanceof ClaimAction.Dispatch) {
      inFlightRequest.dispatch(target);
    } else if (action instanceof ClaimAction.Replay replay) {
      inFlightRequest.replay(replay.claim().answer(), "claim");
    } else if (action instanceof ClaimAction.Refuse refuse) {
      inFlightRequest.refuse(refuse.refusal(), refuse.run());
    }
  }

  private void write(CompletableFuture<Long> pendingWrite, EventKind kind) {
    pendingWrite.whenComplete(
        (version, failure) -> {
          synchronized (inFlightRequest) {
            if (failure == null) {
              services.metrics().claimWrites.labelValues("written").inc();
              events.claimWritten(kind, target);
            } else {
              services
                  .metrics()
                  .claimWrites
                  .labelValues(ClaimStore.kindOf(failure).name().toLowerCase(Locale.ROOT))
                  .inc();
            }
            if (!inFlightRequest.isEnded()) {
              execute(
                  failure == null
                      ? decision.written(version)
                      : decision.writeFailed(ClaimStore.kindOf(failure)));
            }
          }
        });
  }

  private void read() {
    services
        .claims()
        .read(objectKey)
        .whenComplete(
            (found, failure) -> {
              synchronized (inFlightRequest) {
                if (inFlightRequest.isEnded()) {
                  return;
                }
                if (failure != null) {
                  execute(decision.readFailed());
                } else {
                  execute(
                      decision.read(
                          found.map(ClaimStore.VersionedClaim::claim),
                          found.map(ClaimStore.VersionedClaim::version).orElse(0L)));
                }
              }
            });
  }

  private void attemptReported(AttemptStatus status, RunReport details) {
    synchronized (inFlightRequest) {
      if (inFlightRequest.isEnded()) {
        return;
      }
      if (status == AttemptStatus.FINISHED) {
        inFlightRequest.replay(CallerHeaders.answerOf(details, request.requestId()), "endpoint");
        return;
      }
      if (status == AttemptStatus.REVOKED) {
        events.revoked(decision.current().attemptId());
        inFlightRequest.markLastResort(decision.current().vm());
      }
      execute(decision.reported(status, null));
    }
  }
}
