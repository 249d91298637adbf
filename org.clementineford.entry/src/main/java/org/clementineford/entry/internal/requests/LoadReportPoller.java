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
import org.clementineford.requests.routing.BackEndId;
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
final class LoadReportPoller {
  // Enough to spread the load of one data centre; costs a few KB per second between regions.
  private static final int MAX_REMOTE_ENDPOINTS = 8;

  private final VmIdentity self;
  private final ConfigurationView configuration;
  private final MembershipView membership;
  private final EndpointTable endpoints;
  private final LoadReportHandler reports;
  private final PeerExchanges connections;
  private final NanoClock clock;

  LoadReportPoller(
      VmIdentity self,
      ConfigurationView configuration,
      MembershipView membership,
      EntryServices services,
      LoadReportHandler reports) {
    this.self = self;
    this.configuration = configuration;
    this.membership = membership;
    this.endpoints = services.endpoints();
    this.reports = reports;
    this.connections = services.connections();
    this.clock = services.clock();
  }

  /**
   * Asks local endpoints without a known report, and some remote endpoints if a back end has no
   * local endpoint.
   */
  void pollIfNeeded() {
    boolean localEndpointMissing = isLocalEndpointMissing(configuration.current());
    List<VmIdentity> remote = new ArrayList<>();
    for (MembershipView.Member member : membership.members()) {
      VmIdentity identity = member.identity();
      if (identity.role() != VmRole.ENDPOINT || !member.phase().takesNewWork()) {
        continue;
      }
      if (!identity.dataCentre().equals(self.dataCentre())) {
        remote.add(identity);
      } else if (!endpoints.hasReport(identity.vm(), identity.incarnation())) {
        requestReport(identity);
      }
    }
    if (localEndpointMissing) {
      Collections.shuffle(remote, ThreadLocalRandom.current());
      remote.stream().limit(MAX_REMOTE_ENDPOINTS).forEach(this::requestReport);
    }
  }

  private boolean isLocalEndpointMissing(ConfigurationSnapshot snapshot) {
    return snapshot.models().keySet().stream()
            .anyMatch(name -> hasNoLocalEndpoint(new BackEndId(name, "")))
        || snapshot.services().keySet().stream()
            .anyMatch(name -> hasNoLocalEndpoint(new BackEndId(name, null)));
  }

  private boolean hasNoLocalEndpoint(BackEndId backEnd) {
    return endpoints.candidates(backEnd, clock.nanoTime()).stream()
        .noneMatch(candidate -> candidate.endpoint().dataCentre().equals(self.dataCentre()));
  }

  private void requestReport(VmIdentity endpoint) {
    LoadReport reportRequest = new LoadReport(Payloads.toWire(self), List.of(), false);
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
    connections.open(endpoint.address(), Payload.loadReport(reportRequest), listener);
  }
}
