package org.clementineford.endpoint.internal.requests;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmRole;
import org.clementineford.node.MembershipView.Member;
import org.clementineford.node.NodeContext;
import org.clementineford.requests.admission.FairQueue;
import org.clementineford.transport.ExchangeHandler;
import org.clementineford.transport.IncomingExchange;
import org.clementineford.transport.Payloads;
import org.clementineford.wire.BackEndLoad;
import org.clementineford.wire.LoadReport;
import org.clementineford.wire.Payload;

/** Creates load reports, answers requests for them and sends them to entry VMs. */
final class LoadReporter implements ExchangeHandler {
  private final NodeContext context;
  private final Collection<LocalBackEnd> backEnds;
  private final List<LoadPoller> pollers;
  private final ActivatedVersions versions;
  private final BooleanSupplier leaving;

  LoadReporter(
      NodeContext context,
      Collection<LocalBackEnd> backEnds,
      List<LoadPoller> pollers,
      ActivatedVersions versions,
      BooleanSupplier leaving) {
    this.context = context;
    this.backEnds = backEnds;
    this.pollers = pollers;
    this.versions = versions;
    this.leaving = leaving;
  }

  @Override
  public void onOpen(Payload opening, IncomingExchange exchange) {
    exchange.finish(report());
  }

  private Payload report() {
    List<BackEndLoad> loads = new ArrayList<>();
    backEnds.forEach(backEnd -> loads.add(load(backEnd)));
    return Payload.loadReport(
        new LoadReport(Payloads.toWire(context.self()), loads, leaving.getAsBoolean()));
  }

  private BackEndLoad load(LocalBackEnd backEnd) {
    FairQueue.Depth depth = backEnd.queue().depth();
    BackEndLoad load =
        new BackEndLoad()
            .setBackEnd(backEnd.name())
            .setRunning(depth.running())
            .setQueued(depth.queued())
            .setQueuedCostTokens(depth.queuedCost())
            .setSlots(depth.slots())
            .setAgeMs(ageMs(backEnd))
            .setHealthy(!backEnd.isDown());
    if (backEnd.kind() == BackEndKind.ENGINE) {
      load.setModel(backEnd.name());
      versions
          .current(backEnd.name())
          .ifPresent(
              served -> load.setModelVersion(served.version()).setWeightsDigest(served.digest()));
    }
    return load;
  }

  /** Returns the age of the oldest load report of the back end's servers. */
  private long ageMs(LocalBackEnd backEnd) {
    return pollers.stream()
        .filter(poll -> poll.backEnd() == backEnd)
        .mapToLong(LoadPoller::ageMs)
        .max()
        .orElse(0);
  }

  /** Sends a load report to the entry VMs of this data centre that take new work. */
  void sendToOwnDataCentre() {
    String dataCentre = context.self().dataCentre();
    send(
        entryVms(
            entry ->
                entry.phase().takesNewWork() && entry.identity().dataCentre().equals(dataCentre)),
        () -> {});
  }

  /** Returns the addresses of all entry VMs that are not dead. */
  List<HostPort> entryVms() {
    return entryVms(entry -> true);
  }

  private List<HostPort> entryVms(Predicate<Member> filter) {
    List<HostPort> addresses = new ArrayList<>();
    for (Member member : context.membership().members()) {
      if (member.identity().role() == VmRole.ENTRY && filter.test(member)) {
        addresses.add(member.identity().address());
      }
    }
    return addresses;
  }

  /**
   * Sends a load report.
   *
   * @param receivers addresses of the receivers
   * @param settled called for each receiver that confirms the report or cannot be reached
   */
  void send(List<HostPort> receivers, Runnable settled) {
    Payload report = report();
    for (HostPort receiver : receivers) {
      context.network().call(receiver, report).whenComplete((reply, failure) -> settled.run());
    }
  }
}
