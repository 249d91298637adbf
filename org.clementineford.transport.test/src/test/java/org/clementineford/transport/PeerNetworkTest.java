package org.clementineford.transport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.timeline.HybridLogicalClock;
import org.clementineford.kernel.timeline.HybridTime;
import org.clementineford.testing.FreePorts;
import org.clementineford.wire.AnswerPart;
import org.clementineford.wire.Payload;
import org.clementineford.wire.RevisionAnnounce;
import org.clementineford.wire.StatusFetch;
import org.clementineford.wire.VmIdentity;
import org.clementineford.wire.VmRole;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerNetworkTest {
  private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);
  private static final PeerTiming SHORT_TIMEOUTS = new PeerTiming(500, 50, 200);

  private EventLoopGroup eventLoops;
  private PeerNetwork server;
  private PeerNetwork client;
  private HostPort address;

  @BeforeEach
  void start() throws Exception {
    eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    server = network("server");
    client = network("client");
    // A test listens on this port a second time, so it must lie outside the range from which the
    // system takes ports of outgoing connections.
    address = server.listen(FreePorts.find());
  }

  @AfterEach
  void stop() {
    client.close();
    server.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private PeerNetwork network(String vm) {
    VmIdentity self =
        new VmIdentity(vm, VmRole.ENTRY, "lorient", "brittany", 1, ANY_PORT.toString());
    return new PeerNetwork(
        eventLoops, self, SHORT_TIMEOUTS, SystemNanoClock.INSTANCE, LinkShaping.NONE);
  }

  private static Payload status() {
    return Payload.statusFetch(new StatusFetch());
  }

  // Guards against a stop that drops answers that a slow peer has not read yet.
  @Test
  void closeAfterWritesDeliversPendingPayloads() throws Exception {
    int parts = 32;
    CompletableFuture<Void> answered = new CompletableFuture<>();
    server.setHandler(
        (opening, exchange) -> {
          for (int i = 0; i < parts; i++) {
            ByteBuffer bytes = ByteBuffer.allocate(1 << 20);
            exchange.send(Payload.answerPart(new AnswerPart("request", 0, bytes)));
          }
          exchange.finish(status());
          answered.complete(null);
        });
    AtomicInteger received = new AtomicInteger();
    CompletableFuture<Boolean> complete = new CompletableFuture<>();
    client.open(
        address,
        status(),
        new ExchangeListener() {
          @Override
          public void onPayload(Payload payload, boolean last) {
            received.incrementAndGet();
            if (last) {
              complete.complete(true);
            }
          }

          @Override
          public void onFailure(ExchangeFailure failure) {
            complete.complete(false);
          }
        });
    answered.get(5, TimeUnit.SECONDS);
    server.closeAfterWrites(10_000);
    assertThat(complete.get(5, TimeUnit.SECONDS)).isTrue();
    assertThat(received).hasValue(parts + 1);
  }

  @Nested
  class Address {
    // Guards against a close that returns while the socket still listens.
    @Test
    void isFreeAfterClose() throws Exception {
      HostPort freed = FreePorts.find();
      for (int i = 0; i < 200; i++) {
        PeerNetwork restarted = network("restarted");
        restarted.listen(freed);
        restarted.close();
      }
    }
  }

  @Nested
  class Replies {
    // Guards against replies that are delivered to the caller of another exchange.
    @Test
    void reachTheCallerOfTheirOwnExchangeWhenSentInReverseOrder() throws Exception {
      List<IncomingExchange> opened = new ArrayList<>();
      server.setHandler(
          (firstPayload, exchange) -> {
            opened.add(exchange);
            if (opened.size() == 2) {
              opened.get(1).finish(revision(2));
              opened.get(0).finish(revision(1));
            }
          });
      CompletableFuture<Payload> first = client.call(address, status());
      CompletableFuture<Payload> second = client.call(address, status());
      assertThat(first.get(5, TimeUnit.SECONDS).getRevisionAnnounce().getRevision()).isEqualTo(1);
      assertThat(second.get(5, TimeUnit.SECONDS).getRevisionAnnounce().getRevision()).isEqualTo(2);
    }

    private Payload revision(long number) {
      return Payload.revisionAnnounce(new RevisionAnnounce().setRevision(number));
    }
  }

  @Nested
  class Failures {
    // Guards against resending a request that the peer may have run.
    @Test
    void areUnknownOnceTheFirstPayloadWasWritten() throws Exception {
      CompletableFuture<ExchangeFailure> failure = new CompletableFuture<>();
      server.setHandler((firstPayload, exchange) -> server.close());
      client.open(address, status(), listener(failure));
      assertThat(failure.get(5, TimeUnit.SECONDS)).isEqualTo(ExchangeFailure.UNKNOWN);
    }

    // Guards against refusing to resend a request that cannot have reached a peer.
    @Test
    void areNeverWrittenIfThePortIsClosed() throws Exception {
      HostPort closedPort;
      try (ServerSocket socket = new ServerSocket(0)) {
        closedPort = new HostPort("127.0.0.1", socket.getLocalPort());
      }
      CompletableFuture<ExchangeFailure> failure = new CompletableFuture<>();
      client.open(closedPort, status(), listener(failure));
      assertThat(failure.get(5, TimeUnit.SECONDS)).isEqualTo(ExchangeFailure.NEVER_WRITTEN);
    }

    // Guards against waiting indefinitely on a connection that stays open but carries no data.
    @Test
    void endExchangesOnSilentConnections() throws Exception {
      try (ServerSocket silentServer = new ServerSocket(0)) {
        HostPort silentAddress = new HostPort("127.0.0.1", silentServer.getLocalPort());
        CompletableFuture<ExchangeFailure> failure = new CompletableFuture<>();
        client.open(silentAddress, status(), listener(failure));
        assertThat(failure.get(5, TimeUnit.SECONDS)).isEqualTo(ExchangeFailure.UNKNOWN);
      }
    }

    // Guards against a lost connection that is not replaced by a new one.
    @Test
    void areFollowedByNewConnections() throws Exception {
      server.setHandler((firstPayload, exchange) -> exchange.finish(Payloads.acknowledgement()));
      client.call(address, status()).get(5, TimeUnit.SECONDS);
      server.close();
      CompletableFuture<ExchangeFailure> failure = new CompletableFuture<>();
      openUntilLost(failure);
      failure.get(5, TimeUnit.SECONDS);
      PeerNetwork restartedServer = network("successor");
      restartedServer.setHandler(
          (firstPayload, exchange) -> exchange.finish(Payloads.acknowledgement()));
      restartedServer.listen(address);
      assertThat(client.call(address, status()).get(5, TimeUnit.SECONDS).isSetAcknowledgement())
          .isTrue();
      restartedServer.close();
    }

    /** Opens exchanges until one fails. A server may still reply to some while it closes. */
    private void openUntilLost(CompletableFuture<ExchangeFailure> failure) {
      client.open(
          address,
          status(),
          new ExchangeListener() {
            @Override
            public void onPayload(Payload payload, boolean last) {
              if (last) {
                openUntilLost(failure);
              }
            }

            @Override
            public void onFailure(ExchangeFailure reason) {
              failure.complete(reason);
            }
          });
    }

    private ExchangeListener listener(CompletableFuture<ExchangeFailure> failure) {
      return new ExchangeListener() {
        @Override
        public void onPayload(Payload payload, boolean last) {}

        @Override
        public void onFailure(ExchangeFailure reason) {
          failure.complete(reason);
        }
      };
    }
  }

  @Nested
  class TimelineClock {
    // Guards against a timeline that shows the receipt of an order before its sending.
    @Test
    void receiverClockAdvancesBeyondTheSendersTimestamp() throws Exception {
      HybridLogicalClock ahead = new HybridLogicalClock(() -> 600_000);
      HybridLogicalClock behind = new HybridLogicalClock(() -> 1_000);
      VmIdentity self = server.self();
      PeerNetwork receiver =
          new PeerNetwork(
              eventLoops, self, SHORT_TIMEOUTS, SystemNanoClock.INSTANCE, behind, LinkShaping.NONE);
      PeerNetwork sender =
          new PeerNetwork(
              eventLoops, self, SHORT_TIMEOUTS, SystemNanoClock.INSTANCE, ahead, LinkShaping.NONE);
      CompletableFuture<HybridTime> received = new CompletableFuture<>();
      receiver.setHandler(
          (firstPayload, exchange) -> {
            received.complete(behind.now());
            exchange.finish(Payloads.acknowledgement());
          });
      HostPort receiverAddress = receiver.listen(ANY_PORT);
      HybridTime sent = ahead.now();
      sender.call(receiverAddress, status()).get(5, TimeUnit.SECONDS);
      assertThat(received.get(5, TimeUnit.SECONDS)).isGreaterThan(sent);
      sender.close();
      receiver.close();
    }
  }

  @Nested
  class Listening {
    // Guards against an error without a remedy, such as a stack trace, when the port is in use.
    @Test
    void onUsedPortNamesTheAddressAndTheRemedy() {
      assertThatThrownBy(() -> client.listen(address))
          .isInstanceOf(ClementinefordException.class)
          .hasMessageContaining(address.toString())
          .hasMessageContaining("choose a free port");
    }
  }

  @Nested
  class CloseIfIdle {
    // Guards against heartbeats on unused connections, and against closing a connection on which an
    // exchange is open.
    @Test
    void closesOnlyIdleConnections() throws Exception {
      VmIdentity self = new VmIdentity("a", VmRole.ENTRY, "lorient", "b", 1, ANY_PORT.toString());
      PeerTiming longHeartbeatTimeout = new PeerTiming(500, 20, 60_000);
      try (ServerSocket peer = new ServerSocket(0);
          PeerNetwork network =
              new PeerNetwork(
                  eventLoops,
                  self,
                  longHeartbeatTimeout,
                  SystemNanoClock.INSTANCE,
                  LinkShaping.NONE)) {
        HostPort peerAddress = new HostPort("127.0.0.1", peer.getLocalPort());
        Exchange exchange =
            network.open(peerAddress, status(), new SingleReplyListener(peerAddress));
        try (Socket socket = peer.accept()) {
          socket.setSoTimeout(5000);
          // The network has established the connection once its first byte has arrived here.
          socket.getInputStream().readNBytes(1);
          network.closeIfIdle(peerAddress);
          assertThat(socket.getInputStream().readNBytes(300)).hasSize(300);
          exchange.cancel();
          network.closeIfIdle(peerAddress);
          // If the connection stayed open, heartbeats would fill the 5000 bytes within seconds.
          assertThat(socket.getInputStream().readNBytes(5000)).hasSizeLessThan(5000);
        }
      }
    }
  }
}
