package org.clementineford.entry.internal.requests;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.node.MembershipView;
import org.clementineford.requests.routing.BackEndId;
import org.clementineford.transport.Payloads;
import org.clementineford.wire.BackEndLoad;
import org.clementineford.wire.LoadReport;
import org.clementineford.wire.Payload;
import org.junit.jupiter.api.Test;

class LoadReportPollerTest {
  private static final BackEndId MODEL = new BackEndId("assistant", "v1");

  private final VirtualTimeFleet fleet = new VirtualTimeFleet();
  private final VirtualTimeFleet.Entry entry = fleet.entry(1);
  private final FakeEndpoint asked = fleet.endpoint(2);

  private void pollEndpointIn(String dataCentre) {
    VmIdentity known = fleet.identity(asked);
    VmIdentity endpoint =
        new VmIdentity(
            asked.vm, VmRole.ENDPOINT, dataCentre, "any", asked.incarnation, known.address());
    BackEndLoad load = new BackEndLoad("assistant", 0, 0, 0, 4, 0, true);
    load.setModel("assistant").setModelVersion("v1");
    asked.loadReport =
        () -> Payload.loadReport(new LoadReport(Payloads.toWire(endpoint), List.of(load), false));
    VmIdentity self =
        new VmIdentity(
            "entry-1", VmRole.ENTRY, "lorient", "any", 1, new HostPort("10.0.1.1", 7000));
    LoadReportHandler reports = new LoadReportHandler(entry.table, entry, fleet.time);
    new LoadReportPoller(self, fleet, new OneMember(endpoint), entry.services, reports)
        .pollIfNeeded();
    fleet.time.advance(10, TimeUnit.MILLISECONDS);
  }

  private List<String> candidates() {
    return entry.table.candidates(MODEL, fleet.time.nanoTime()).stream()
        .map(candidate -> candidate.endpoint().vm())
        .toList();
  }

  // Guards against an entry VM that refuses requests until the next regular load report.
  @Test
  void restartedLocalEndpointIsAskedImmediately() {
    fleet.time.advance(4, TimeUnit.SECONDS);
    asked.incarnation = 2;
    pollEndpointIn("lorient");
    assertThat(candidates()).containsExactly("endpoint-2");
  }

  // Guards against refusing requests that another data centre can serve.
  @Test
  void remoteEndpointIsAskedWhileNoLocalOneServes() {
    fleet.time.advance(4, TimeUnit.SECONDS);
    pollEndpointIn("paris");
    assertThat(candidates()).containsExactly("endpoint-2");
  }

  // Guards against traffic between regions while local endpoints serve.
  @Test
  void remoteEndpointIsNotAskedWhileLocalOnesServe() {
    pollEndpointIn("paris");
    assertThat(asked.loadReportRequests).isZero();
  }

  private record OneMember(VmIdentity identity) implements MembershipView {
    @Override
    public List<Member> members() {
      return List.of(new Member(identity, Phase.ALIVE));
    }

    @Override
    public void onChange(Consumer<List<Member>> listener) {}
  }
}
