package org.clementineford.daemons;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.clementineford.kernel.HostPort;
import org.clementineford.testing.FreePorts;
import org.clementineford.transport.EventLoopScheduler;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Sends signals to the daemon of an entry VM that runs as a process of its own. */
@Timeout(120)
class SignalsTest {
  private static final long LIMIT_SECONDS = 40;

  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient client = new HttpClient(eventLoops, LinkShaping.NONE);
  private final Await await = new Await(new EventLoopScheduler(eventLoops));
  private HostPort callers;
  private Process daemon;

  @BeforeEach
  void choosePort() throws Exception {
    callers = FreePorts.find();
  }

  @AfterEach
  void stop() {
    daemon.destroyForcibly();
    client.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void start(String... more) throws Exception {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                EntryDaemon.class.getName(),
                "--vm",
                "entry-1",
                "--data-centre",
                "lorient",
                "--region",
                "brittany",
                "--platform",
                "http://127.0.0.1:9",
                "--http-address",
                callers.toString()));
    command.addAll(List.of(more));
    daemon =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
  }

  private void signal(String name) throws Exception {
    Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(daemon.pid())).start();
    assertThat(kill.waitFor()).isZero();
  }

  /** Waits until the server answers to a path that is unknown without a configuration. */
  private void awaitListening() throws Exception {
    AtomicInteger status = new AtomicInteger();
    await.until("the daemon listens", LIMIT_SECONDS, () -> read("/other", status) != 0);
  }

  private int read(String path, AtomicInteger status) {
    client
        .call(callers, new HttpRequest("GET", path, Map.of(), new byte[0]), 5000)
        .thenAccept(answer -> status.set(answer.status()));
    return status.get();
  }

  private int exitCode() throws Exception {
    assertThat(daemon.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS)).isTrue();
    return daemon.exitValue();
  }

  // Guards against a signal that ends a process during its start without a drain.
  @Test
  void terminationDuringTheStartStopsGracefully() throws Exception {
    try (ServerSocket seed = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
      start("--seeds", "127.0.0.1:" + seed.getLocalPort());
      // The start waits for an answer of the seed.
      try (Socket connection = seed.accept()) {
        assertThat(connection.isConnected()).isTrue();
        signal("TERM");
        assertThat(exitCode()).isZero();
      }
    }
  }

  // Guards against a second signal that cuts off what the stop still waits for.
  @Test
  void furtherSignalsDoNotShortenTheStop() throws Exception {
    start("--readiness-ms", "3000");
    awaitListening();
    final long signalled = System.nanoTime();
    signal("TERM");
    signal("TERM");
    signal("HUP");
    signal("INT");
    assertThat(exitCode()).isZero();
    assertThat(System.nanoTime() - signalled).isGreaterThan(TimeUnit.SECONDS.toNanos(3));
  }
}
