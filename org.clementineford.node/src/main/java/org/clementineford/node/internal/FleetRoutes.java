package org.clementineford.node.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.node.MembershipView;
import org.clementineford.transport.PeerNetwork;
import org.clementineford.transport.http.HttpExchange;
import org.clementineford.wire.ModelStatus;
import org.clementineford.wire.Payload;
import org.clementineford.wire.Status;
import org.clementineford.wire.StatusFetch;
import org.clementineford.wire.TimelineFetch;

/** Routes of the admin server that query all members: {@code /status} and {@code /timeline}. */
final class FleetRoutes {
  private static final long MEMBER_TIMEOUT_MS = 2000;
  private static final int EVENTS_PER_MEMBER = 1000;

  private final PeerNetwork network;
  private final MembershipView membership;
  private final DiagnosticsAgent diagnostics;

  FleetRoutes(PeerNetwork network, MembershipView membership, DiagnosticsAgent diagnostics) {
    this.network = network;
    this.membership = membership;
    this.diagnostics = diagnostics;
  }

  void register(AdminRoutes routes) {
    routes.register("GET", "/status", this::status);
    routes.register("GET", "/timeline", this::timeline);
  }

  private void status(HttpExchange exchange) {
    List<CompletableFuture<Map<String, Object>>> answers = new ArrayList<>();
    for (MembershipView.Member member : membersInScope(exchange)) {
      answers.add(
          query(member, Payload.statusFetch(new StatusFetch()))
              .handle(
                  (reply, failure) ->
                      failure == null && reply.isSetStatus()
                          ? reachableEntry(member, reply.getStatus())
                          : unreachableEntry(member)));
    }
    whenAll(answers)
        .thenAccept(members -> AdminRoutes.respondJson(exchange, Map.of("members", members)));
  }

  private void timeline(HttpExchange exchange) {
    TimelineFetch fetch = new TimelineFetch(0, EVENTS_PER_MEMBER);
    List<CompletableFuture<Map<String, Object>>> answers = new ArrayList<>();
    for (MembershipView.Member member : membersInScope(exchange)) {
      answers.add(
          query(member, Payload.timelineFetch(fetch))
              .handle(
                  (reply, failure) -> {
                    Map<String, Object> answer = unreachableEntry(member);
                    if (failure == null && reply.isSetTimelineEvents()) {
                      answer.put("reachable", true);
                      answer.put("droppedBefore", reply.getTimelineEvents().getDroppedBefore());
                      answer.put(
                          "events",
                          reply.getTimelineEvents().getEvents().stream()
                              .map(WireEvents::toJson)
                              .toList());
                    }
                    return answer;
                  }));
    }
    whenAll(answers)
        .thenAccept(members -> AdminRoutes.respondJson(exchange, Map.of("members", members)));
  }

  private List<MembershipView.Member> membersInScope(HttpExchange exchange) {
    boolean allMembers = !exchange.request().queryParameter("scope", "fleet").equals("process");
    String self = network.self().getVm();
    return membership.members().stream()
        .filter(member -> allMembers || member.identity().vm().equals(self))
        .toList();
  }

  private CompletableFuture<Payload> query(MembershipView.Member member, Payload request) {
    VmIdentity identity = member.identity();
    if (identity.vm().equals(network.self().getVm())) {
      return CompletableFuture.completedFuture(
          request.isSetStatusFetch()
              ? Payload.status(diagnostics.status())
              : Payload.timelineEvents(diagnostics.events(request.getTimelineFetch())));
    }
    HostPort address = identity.address();
    return network
        .call(address, request)
        .orTimeout(MEMBER_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .whenComplete(
            (reply, failure) -> {
              // Requests use the connections to endpoints; others would only cost heartbeats.
              if (identity.role() == VmRole.ENTRY) {
                network.closeIfIdle(address);
              }
            });
  }

  private static Map<String, Object> unreachableEntry(MembershipView.Member member) {
    Map<String, Object> entry = new LinkedHashMap<>();
    entry.put("vm", member.identity().vm());
    entry.put("role", member.identity().role().name());
    entry.put("dataCentre", member.identity().dataCentre());
    entry.put("region", member.identity().region());
    entry.put("incarnation", member.identity().incarnation());
    entry.put("address", member.identity().address().toString());
    entry.put("phase", member.phase().name());
    entry.put("reachable", false);
    return entry;
  }

  private static Map<String, Object> reachableEntry(MembershipView.Member member, Status status) {
    Map<String, Object> entry = unreachableEntry(member);
    entry.put("reachable", true);
    entry.put("revision", status.getRevisionInForce());
    entry.put("inForceSinceMs", status.getInForceSinceMs());
    entry.put("leaving", status.isLeaving());
    entry.put("models", status.getModels().stream().map(FleetRoutes::model).toList());
    return entry;
  }

  private static Map<String, Object> model(ModelStatus status) {
    Map<String, Object> model = new LinkedHashMap<>();
    model.put("model", status.getModel());
    model.put("servingVersion", status.getServingVersion());
    model.put("servingDigest", status.getServingDigest());
    model.put("targetVersion", status.getTargetVersion());
    model.put("chunksHeld", status.getChunksHeld());
    model.put("chunksTotal", status.getChunksTotal());
    model.put("bytesFromOrigin", status.getBytesFromOrigin());
    model.put("bytesFromPeers", status.getBytesFromPeers());
    model.put("bytesRefetched", status.getBytesRefetched());
    return model;
  }

  private static <T> CompletableFuture<List<T>> whenAll(List<CompletableFuture<T>> futures) {
    return CompletableFuture.allOf(futures.toArray(CompletableFuture[]::new))
        .thenApply(done -> futures.stream().map(CompletableFuture::join).toList());
  }
}
