package org.clementineford.daemons;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.platform.HttpWeightSource;
import org.clementineford.standins.EngineOptions;
import org.clementineford.standins.EngineStandIn;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.PeerNetwork;
import org.clementineford.transport.PeerTiming;
import org.clementineford.weights.Manifest;
import org.clementineford.wire.ActivateOrder;
import org.clementineford.wire.OrderReply;
import org.clementineford.wire.Payload;
import org.clementineford.wire.VmIdentity;
import org.clementineford.wire.VmRole;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Orders that a lease holder put on the wire before a pause, and that arrive after it. */
class FencingTest {
  private static final long EARLIER_LEASE = 0;

  // Guards against a fleet that goes back to an earlier version because a paused lease holder
  // resumed, with engines that check fencing numbers and with engines that ignore them.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void lateOrderOfPausedHolderChangesNothing(boolean engineChecks) throws Exception {
    try (Fleet fleet = new Fleet(new EngineOptions(20, 5, 12, 32, engineChecks, 200))) {
      fleet.serve("v1");
      final Manifest earlier =
          Manifest.parse(
              new HttpWeightSource(fleet.client, fleet.origin.address())
                  .manifest("assistant", "v1")
                  .get(5, TimeUnit.SECONDS));
      fleet.order("v2");
      fleet.awaitServed("v2", fleet.engines);
      try (PeerNetwork holder = holder(fleet.eventLoops)) {
        for (TestNode endpoint : fleet.endpoints) {
          // The first order is also behind the document, the second only behind the lease.
          OrderReply reply = order(holder, endpoint, earlier, 1);
          assertOvertaken(reply);
          assertOvertaken(order(holder, endpoint, earlier, reply.getHighestDocumentRevision()));
        }
      }
      fleet.run(500);
      assertThat(fleet.engines)
          .extracting(EngineStandIn::loaded)
          .allMatch(loaded -> loaded.version().equals("v2"));
    }
  }

  private static void assertOvertaken(OrderReply reply) {
    assertThat(reply.isAccepted()).isFalse();
    // The version is not wanted either, which must not be the only reason.
    assertThat(reply.getReason()).contains("a later order was accepted");
  }

  private static PeerNetwork holder(EventLoopGroup eventLoops) {
    VmIdentity self =
        new VmIdentity("entry-0", VmRole.ENTRY, "lorient", "brittany", 1, "127.0.0.1:1");
    return new PeerNetwork(
        eventLoops, self, PeerTiming.DEFAULT, SystemNanoClock.INSTANCE, LinkShaping.NONE);
  }

  private static OrderReply order(
      PeerNetwork holder, TestNode endpoint, Manifest manifest, long revision) throws Exception {
    HostPort address = endpoint.peerAddress();
    ActivateOrder order =
        new ActivateOrder(
            manifest.model(),
            manifest.version(),
            manifest.address(),
            revision,
            EARLIER_LEASE,
            "entry-0");
    return holder
        .call(address, Payload.activateOrder(order))
        .get(5, TimeUnit.SECONDS)
        .getOrderReply();
  }
}
