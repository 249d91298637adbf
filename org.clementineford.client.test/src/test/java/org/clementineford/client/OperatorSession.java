package org.clementineford.client;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.client.internal.Main;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.settings.Settings;
import org.clementineford.node.Node;
import org.clementineford.node.NodeEnvironment;
import org.clementineford.node.NodeSettings;
import org.clementineford.platform.HttpObjectStore;
import org.clementineford.platform.HttpVmList;
import org.clementineford.standins.ObjectApiStandIn;
import org.clementineford.standins.StandInContext;
import org.clementineford.testing.VirtualTime;
import org.clementineford.transport.LinkShaping;

/** Runs operator commands against entry VMs on simulated time and records their output. */
final class OperatorSession implements AutoCloseable {
  private static final long EPOCH_MS = 1_796_000_000_000L;
  private static final long STEP_MS = 100;

  final ObjectApiStandIn platform;
  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final VirtualTime time = new VirtualTime(EPOCH_MS);
  private final Path files;
  private final StringBuilder transcript = new StringBuilder();
  private final List<Node> nodes = new ArrayList<>();

  OperatorSession(Path files) throws Exception {
    this.files = files;
    platform = new ObjectApiStandIn(StandInContext.onLoopback(eventLoops, 1), 0);
    platform.start();
  }

  void startEntry(String vm) throws Exception {
    HostPort any = new HostPort("127.0.0.1", 0);
    Node node =
        new Node(
            new NodeSettings(
                new VmIdentity(vm, VmRole.ENTRY, "lorient", "brittany", 1, any),
                any,
                platform.address(),
                nodes.stream().map(Node::peerAddress).toList(),
                1000),
            new NodeEnvironment(
                eventLoops,
                time,
                time,
                time.epochClock(),
                LinkShaping.NONE,
                HttpObjectStore::new,
                HttpVmList::new));
    node.start(List.of(), Settings.read(List.of(), new String[0], Map.of()));
    nodes.add(node);
  }

  void stopFirstEntry() {
    nodes.remove(0).stop();
  }

  void writeFile(String name, String text) throws IOException {
    Files.writeString(files.resolve(name), text);
    transcript.append("# ").append(name).append(" holds: ").append(text.strip()).append('\n');
  }

  void note(String text) {
    transcript.append("# ").append(text).append('\n');
  }

  /** Runs a command while time advances; file names refer to files of the session. */
  void run(String commandLine) {
    transcript.append("$ clementineford ").append(commandLine).append('\n');
    List<String> words = new ArrayList<>();
    for (String word : commandLine.split(" ")) {
      words.add(word.endsWith(".yaml") ? files.resolve(word).toString() : word);
    }
    words.add("--entry");
    words.add(String.join(",", nodes.stream().map(n -> n.adminAddress().toString()).toList()));
    CompletableFuture<String> result =
        CompletableFuture.supplyAsync(() -> call(words.toArray(String[]::new)));
    advanceUntil(result);
    transcript.append(withoutAddresses(result.join())).append('\n');
  }

  private static String call(String[] words) {
    try {
      return Main.run(words, Map.of()) + "\nexit code 0";
    } catch (ClementinefordException e) {
      return e.getMessage() + "\nexit code " + e.kind().exitCode();
    }
  }

  private String withoutAddresses(String text) {
    return text.replace(platform.address().toString(), "PLATFORM")
        .replaceAll("Connection refused: \\S+", "connection refused");
  }

  /** Advances time by a second, in which processes exchange their state. */
  void advanceOneSecond() {
    for (int i = 0; i < 1000 / STEP_MS; i++) {
      advanceOneStep();
    }
  }

  private void advanceUntil(CompletableFuture<?> result) {
    while (!result.isDone()) {
      advanceOneStep();
      // Yields to a command that waits for the platform between two steps.
      Thread.onSpinWait();
    }
  }

  private void advanceOneStep() {
    time.advance(STEP_MS, TimeUnit.MILLISECONDS);
    eventLoops.forEach(loop -> loop.submit(() -> {}).syncUninterruptibly());
  }

  /** Compares with the golden file, or writes it if the property {@code golden.write} is set. */
  void assertMatches(String golden) throws IOException {
    Path path = Path.of("src/test/resources/golden", golden);
    if (Boolean.getBoolean("golden.write")) {
      Files.writeString(path, transcript);
    }
    List<String> expected = Arrays.asList(Files.readString(path).split("\n"));
    assertThat(Arrays.asList(transcript.toString().split("\n"))).isEqualTo(expected);
  }

  @Override
  public void close() {
    nodes.forEach(Node::stop);
    platform.close();
    eventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }
}
