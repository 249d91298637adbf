package org.clementineford.entry.internal.requests;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.agrona.concurrent.NanoClock;
import org.clementineford.configuration.ConfigurationSnapshot;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.node.ConfigurationView;
import org.clementineford.node.MembershipView;
import org.clementineford.requests.routing.BackEnd;
import org.clementineford.requests.routing.EndpointTable;
import org.clementineford.transport.ExchangeFailure;
import org.clementineford.transport.ExchangeListener;
import org.clementineford.transport.Payloads;
import org.clementineford.wire.LoadReport;
import org.clementineford.wire.Payload;

/**
 * Requests load reports from endpoints. A local endpoint is asked until its first report is known,
 * so that a newly started entry VM need not wait for the next regular report. Endpoints outside the
 * data centre send no reports to it; they are asked while local endpoints cannot serve some back
 * end.
 */
final class ReportQuestions {
  // Enough to spread the load of one data centre; costs a few KB per second between regions.
  private static final int MAX_ASKED = 8;

  private final VmIdentity self;
  private final ConfigurationView configuration;
  private final MembershipView membership;
  private final EndpointTable table;
  private final LoadReports reports;
  private final PeerLink link;
  private final NanoClock clock;

  ReportQuestions(
      VmIdentity self,
      ConfigurationView configuration,
      MembershipView membership,
      EntryServices services,
      LoadReports reports) {
    this.self = self;
    this.configuration = configuration;
    this.membership = membership;
    this.table = services.endpoints();
    this.reports = reports;
    this.link = services.link();
    this.clock = services.clock();
  }

  /**
   * Asks local endpoints without a known report, and some remote endpoints if a back end has no
   * local endpoint.
   */
  void askIfNeeded() {
    boolean gap = hasGap(configuration.current());
    List<VmIdentity> remote = new ArrayList<>();
    for (MembershipView.Member member : membership.members()) {
      VmIdentity identity = member.identity();
      if (identity.role() != VmRole.ENDPOINT || !member.phase().takesNewWork()) {
        continue;
      }
      if (!identity.dataCentre().equals(self.dataCentre())) {
        remote.add(identity);
      } else if (!table.knows(identity.vm(), identity.incarnation())) {
        ask(identity);
      }
    }
    if (gap) {
      Collections.shuffle(remote, ThreadLocalRandom.current());
      remote.stream().limit(MAX_ASKED).forEach(this::ask);
    }
  }

  private boolean hasGap(ConfigurationSnapshot snapshot) {
    return snapshot.models().keySet().stream().anyMatch(name -> isMissing(new BackEnd(name, "")))
        || snapshot.services().keySet().stream()
            .anyMatch(name -> isMissing(new BackEnd(name, null)));
  }

  private boolean isMissing(BackEnd backEnd) {
    return table.candidates(backEnd, clock.nanoTime()).stream()
        .noneMatch(candidate -> candidate.endpoint().dataCentre().equals(self.dataCentre()));
  }

  private void ask(VmIdentity endpoint) {
    LoadReport question = new LoadReport(Payloads.toWire(self), List.of(), false);
    ExchangeListener listener =
        new ExchangeListener() {
          @Override
          public void onPayload(Payload payload, boolean last) {
            if (payload.isSetLoadReport()) {
              reports.accept(payload.getLoadReport());
            }
          }

          @Override
          public void onFailure(ExchangeFailure failure) {
            // The next poll includes other endpoints as well.
          }
        };
    link.open(endpoint.address(), Payload.loadReport(question), listener);
  }
}
