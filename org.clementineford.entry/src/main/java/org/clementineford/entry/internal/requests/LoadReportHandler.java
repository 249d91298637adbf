package org.clementineford.entry.internal.requests;

import java.util.ArrayList;
import java.util.List;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.errors.SettingException;
import org.clementineford.requests.routing.BackEndId;
import org.clementineford.requests.routing.BackEndReport;
import org.clementineford.requests.routing.EndpointReport;
import org.clementineford.requests.routing.EndpointTable;
import org.clementineford.transport.ExchangeHandler;
import org.clementineford.transport.IncomingExchange;
import org.clementineford.transport.Payloads;
import org.clementineford.wire.BackEndLoad;
import org.clementineford.wire.LoadReport;
import org.clementineford.wire.Payload;

/** Records the load reports of endpoints and connects to each endpoint that sends one. */
final class LoadReportHandler implements ExchangeHandler {
  private final EndpointTable endpoints;
  private final PeerExchanges connections;
  private final NanoClock clock;

  LoadReportHandler(EndpointTable endpoints, PeerExchanges connections, NanoClock clock) {
    this.endpoints = endpoints;
    this.connections = connections;
    this.clock = clock;
  }

  @Override
  public void onOpen(Payload opening, IncomingExchange exchange) {
    exchange.finish(
        accept(opening.getLoadReport())
            ? Payloads.acknowledgement()
            : Payloads.failure(
                "malformed-report", "the address of the sender is invalid; expected HOST:PORT"));
  }

  /** Records a load report; returns false if it is malformed. */
  boolean accept(LoadReport loadReport) {
    try {
      EndpointReport report = fromWire(loadReport);
      endpoints.update(report, clock.nanoTime());
      // Connects before the first request, which needs the endpoint's tick.
      connections.peer(report.endpoint().address());
      return true;
    } catch (SettingException e) {
      return false;
    }
  }

  private static EndpointReport fromWire(LoadReport report) throws SettingException {
    VmIdentity sender = Payloads.fromWire(report.getSender());
    List<BackEndReport> backEnds = new ArrayList<>();
    for (BackEndLoad load : report.getBackEnds()) {
      boolean model = load.isSetModel();
      // A model without an activated version cannot be served yet.
      if (!model || load.isSetModelVersion()) {
        BackEndId backEnd =
            model
                ? new BackEndId(load.getModel(), load.getModelVersion())
                : new BackEndId(load.getBackEnd(), null);
        backEnds.add(
            new BackEndReport(
                backEnd,
                load.getBackEnd(),
                load.getRunning(),
                load.getQueued(),
                load.getSlots(),
                load.isHealthy()));
      }
    }
    return new EndpointReport(sender, backEnds, report.isLeaving());
  }
}
