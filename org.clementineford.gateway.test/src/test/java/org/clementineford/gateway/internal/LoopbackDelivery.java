package org.clementineford.gateway.internal;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Waits until what a socket sent has reached the other end of its loopback connection, as the
 * kernel's table of connections shows. On a busy machine, loopback delivers with a delay.
 */
final class LoopbackDelivery {
  private static final String ESTABLISHED = "01";
  private static final String EMPTY_QUEUE = "00000000";

  private final String localPort;
  private final String remotePort;

  LoopbackDelivery(Socket sender) {
    this.localPort = hexPort(sender.getPort());
    this.remotePort = hexPort(sender.getLocalPort());
  }

  /** Waits until the other end holds bytes that were not read. */
  void awaitUnreadBytes() throws IOException {
    await(receiver -> receiver.map(Receiver::hasUnreadBytes).orElse(false));
  }

  /** Waits until the other end has read what it holds. */
  void awaitRead() throws IOException {
    await(receiver -> receiver.map(end -> !end.hasUnreadBytes()).orElse(true));
  }

  /** Waits until the other end knows that the connection is closed. */
  void awaitClose() throws IOException {
    await(receiver -> receiver.map(Receiver::isEstablished).map(open -> !open).orElse(true));
  }

  private void await(Predicate<Optional<Receiver>> condition) throws IOException {
    long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
    while (!condition.test(receiver())) {
      if (System.nanoTime() - giveUpAt > 0) {
        throw new IOException("not delivered within 5 s");
      }
      Thread.onSpinWait();
    }
  }

  private Optional<Receiver> receiver() throws IOException {
    for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
      for (String line : Files.readAllLines(Path.of(table))) {
        String[] fields = line.strip().split("\\s+");
        if (fields[1].endsWith(localPort) && fields[2].endsWith(remotePort)) {
          return Optional.of(new Receiver(fields[3], fields[4]));
        }
      }
    }
    return Optional.empty();
  }

  private static String hexPort(int port) {
    return String.format(Locale.ROOT, ":%04X", port);
  }

  private record Receiver(String state, String queues) {
    boolean isEstablished() {
      return state.equals(ESTABLISHED);
    }

    boolean hasUnreadBytes() {
      return !queues.endsWith(":" + EMPTY_QUEUE);
    }
  }
}
