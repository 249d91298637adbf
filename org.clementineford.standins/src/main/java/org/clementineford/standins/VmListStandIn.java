package org.clementineford.standins;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.platform.VmList;
import org.clementineford.transport.http.HttpExchange;

/**
 * Simulates the platform's list of VMs: {@code GET /vms}, and {@code POST /vms} to replace it. A
 * replaced list becomes visible after the lag. Faults: OUTAGE, HANG, SLOWNESS.
 */
public final class VmListStandIn extends HttpStandIn {
  private final long lagMs;
  private volatile List<VmList.Entry> visible = List.of();

  /**
   * Creates an empty list.
   *
   * @param context address, time and seed of the stand-in
   * @param lagMs delay before a replaced list is visible, in milliseconds
   */
  public VmListStandIn(StandInContext context, long lagMs) {
    super(context);
    this.lagMs = lagMs;
  }

  /**
   * Replaces the list.
   *
   * @param entries the current VMs
   */
  public void replace(List<VmList.Entry> entries) {
    List<VmList.Entry> copy = List.copyOf(entries);
    if (lagMs == 0) {
      visible = copy;
    } else {
      context().scheduler().schedule(() -> visible = copy, lagMs, TimeUnit.MILLISECONDS);
    }
  }

  @Override
  protected void handle(HttpExchange exchange) {
    if (!exchange.request().path().equals("/vms")) {
      respondError(exchange, 404, "no such path");
      return;
    }
    if (exchange.request().method().equals("GET")) {
      counters().add("read", 1);
      respondJson(exchange, 200, visible);
      return;
    }
    try {
      replace(
          JSON.readValue(exchange.request().body(), new TypeReference<List<VmList.Entry>>() {}));
      respondJson(exchange, 200, Map.of());
    } catch (IOException e) {
      respondError(exchange, 400, "not a list of VMs: " + e.getMessage());
    }
  }
}
