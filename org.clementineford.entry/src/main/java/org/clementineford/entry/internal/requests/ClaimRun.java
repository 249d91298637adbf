package org.clementineford.entry.internal.requests;

import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.clementineford.kernel.timeline.EventKind;
import org.clementineford.requests.RunState;
import org.clementineford.requests.claims.AttemptReport;
import org.clementineford.requests.claims.Claim;
import org.clementineford.requests.claims.ClaimAction;
import org.clementineford.requests.claims.ClaimDecision;
import org.clementineford.requests.claims.StoredAnswer;
import org.clementineford.wire.RunReport;

/** Executes the actions of one request's claim decision. Guarded by the lock of the request. */
final class ClaimRun {
  private final EntryServices services;
  private final CallerRequest request;
  private final AttemptInquiry inquiry;
  private final RequestRun run;
  private final ClaimDecision decision;
  private final RunEvents events;
  private final String objectKey;
  private Target target;

  ClaimRun(EntryServices services, CallerRequest request, AttemptInquiry inquiry, RequestRun run) {
    this.services = services;
    this.request = request;
    this.inquiry = inquiry;
    this.run = run;
    this.events = new RunEvents(services, request);
    this.decision = new ClaimDecision(request.digest());
    this.objectKey = ClaimStore.objectKey(request.account(), request.key());
  }

  void begin() {
    act(decision.start());
  }

  void prepared(Target named) {
    target = named;
    act(decision.prepared(named.toClaim(request.digest())));
  }

  void noEndpoint() {
    act(decision.noEndpoint());
  }

  /** Moves the request to another attempt, after proof that the claimed attempt never runs. */
  void notRun() {
    act(decision.notRun());
  }

  RunState knowledge() {
    return decision.knowledge();
  }

  /** Records in the claim that the attempt has ended. The response does not wait for the write. */
  void finished(StoredAnswer answer) {
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

  private void act(ClaimAction action) {
    if (action instanceof ClaimAction.Prepare) {
      run.nextAttempt();
    } else if (action instanceof ClaimAction.Create create) {
      write(services.claims().create(objectKey, create.claim()), EventKind.CLAIM_CREATED);
    } else if (action instanceof ClaimAction.Move move) {
      write(
          services.claims().replace(objectKey, move.version(), move.claim()),
          EventKind.CLAIM_MOVED);
    } else if (action instanceof ClaimAction.Read) {
      read();
    } else if (action instanceof ClaimAction.Ask ask) {
      inquiry.ask(ask.claim(), request.account(), run::isWanted, this::reported);
    } else if (action instanceof ClaimAction.Dispatch) {
      run.dispatch(target);
    } else if (action instanceof ClaimAction.Replay replay) {
      run.replay(replay.claim().answer(), "claim");
    } else if (action instanceof ClaimAction.Refuse refuse) {
      run.refuse(refuse.refusal(), refuse.run());
    }
  }

  private void write(CompletableFuture<Long> write, EventKind kind) {
    write.whenComplete(
        (version, failure) -> {
          synchronized (run) {
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
            if (!run.isEnded()) {
              act(
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
              synchronized (run) {
                if (run.isEnded()) {
                  return;
                }
                if (failure != null) {
                  act(decision.readFailed());
                } else {
                  act(
                      decision.read(
                          found.map(ClaimStore.Versioned::claim),
                          found.map(ClaimStore.Versioned::version).orElse(0L)));
                }
              }
            });
  }

  private void reported(AttemptReport report, RunReport details) {
    synchronized (run) {
      if (run.isEnded()) {
        return;
      }
      if (report == AttemptReport.FINISHED) {
        run.replay(CallerHeaders.answerOf(details, request.requestId()), "endpoint");
        return;
      }
      if (report == AttemptReport.REVOKED) {
        events.revoked(decision.current().attemptId());
        run.avoid(decision.current().vm());
      }
      act(decision.reported(report, null));
    }
  }
}
