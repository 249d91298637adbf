package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: a store and the product's own programs. */
final class Deployment implements AutoCloseable {
  static final long CONTACT_MS = 3_000;
  static final long DRAIN_MS = 2_000;
  static final String ZONE = "lorient-a";

  /** Time after which a case ends its processes whatever happens, in seconds. */
  private static final long WATCHDOG_S = 110;

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Record record;
  final Store store;
  final Path temporary;
  private final Path root;
  private final String network;
  private final List<Process> processes = new ArrayList<>();
  private String seed;

  Deployment(Path folder) throws IOException {
    root = folder.toAbsolutePath().getParent().getParent();
    record = new Record(folder.resolve("record.txt"));
    temporary = Files.createTempDirectory("review");
    network = freeNetwork();
    store = new Store(host(1), record);
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    Thread watchdog =
        new Thread(
            () -> {
              try {
                TimeUnit.SECONDS.sleep(WATCHDOG_S);
              } catch (InterruptedException e) {
                return;
              }
              record.line("the case took too long; it counts as not run");
              endProcesses();
              Runtime.getRuntime().halt(2);
            });
    watchdog.setDaemon(true);
    watchdog.start();
    record.line(trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
  }

  /** Returns the first three numbers of loopback addresses of which the first hosts are free. */
  private static String freeNetwork() throws IOException {
    Random random = new Random();
    for (int i = 0; i < 50; i++) {
      String network = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
      if (isFree(network + "11", 7_700) && isFree(network + "11", 9_464)) {
        return network;
      }
    }
    throw new IOException("no free loopback addresses");
  }

  private static boolean isFree(String host, int port) {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(InetAddress.getByName(host), port));
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  String host(int number) {
    return network + number;
  }

  private static int freePort(String host) throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(InetAddress.getByName(host), 0));
      return socket.getLocalPort();
    }
  }

  /** An entry VM: its addresses and its process. */
  record Entry(InetSocketAddress front, InetSocketAddress ready, Process process) {}

  /** Starts an entry VM on a host; it is not yet ready. */
  Entry startEntry(int number) throws IOException {
    String host = host(number);
    int front = freePort(host);
    int ready = freePort(host);
    int control = freePort(host);
    if (seed == null) {
      seed = host + ":" + control;
    }
    String listen =
        String.format(
            "{\"front\":\"%1$s:%2$d\",\"ready\":\"%1$s:%3$d\",\"control\":\"%1$s:%4$d\"}",
            host, front, ready, control);
    Process process = start("entry", number, "front", listen, "");
    return new Entry(
        new InetSocketAddress(host, front), new InetSocketAddress(host, ready), process);
  }

  /** Starts an endpoint VM beside the model server on its host. */
  Process startEndpoint(int number, String engineAddress, String service) throws IOException {
    return start(
        "endpoint",
        number,
        "side",
        "{}",
        ",\"app\":\"" + engineAddress + "\",\"service\":\"" + service + "\"");
  }

  private Process start(String role, int number, String machine, String listen, String more)
      throws IOException {
    String host = host(number);
    boolean front = machine.equals("front");
    String settings =
        "{\"node_name\":\""
            + machine
            + "-"
            + ZONE
            + "-"
            + number
            + "\",\"role\":\""
            + role
            + "\",\"machine_class\":\""
            + machine
            + "\",\"serves\":["
            + (front ? "\"front\",\"control\"" : "\"side\"")
            + "],\"ip\":\""
            + host
            + "\",\"zone\":\""
            + ZONE
            + "\",\"region\":\"bretagne\",\"zones\":{\""
            + ZONE
            + "\":\"bretagne\"},\"listen\":"
            + listen
            + ",\"internal_port_range\":[7700,7715],\"seeds\":["
            + (seed == null ? "" : "\"" + seed + "\"")
            + "],\"bootstrap\":false,\"count_toward_faults\":false,\"limits\":{\"cpu_share\":0.75,"
            + "\"cpu_cores\":1,\"memory_mb\":430,\"max_fds\":4100,\"link_mbps\":"
            + (front ? "1000.0" : "5.11")
            + ",\"disk_mb\":0},\"data_dir\":null,\"discovery\":\"platform\",\"entry\":\"vip\","
            + "\"heartbeat_ms\":1200,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\","
            + "\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"chunks\"],"
            + "\"fault_tolerance\":{\"machines\":1,\"zones\":1,\"regions\":0},"
            + "\"bounds\":{\"seed_lag_s\":3,\"reuse_after_s\":2,\"contact_ms\":"
            + CONTACT_MS
            + ",\"ack_ms\":4000,\"catch_up_s\":4,\"drain_ms\":"
            + DRAIN_MS
            + ",\"grace_s\":8,\"loss_slack_ms\":200,\"config_apply_ms\":2000,"
            + "\"rollback_slack_ms\":250,\"outer_ms\":5000,\"fail_closed\":true,"
            + "\"revoke_ms\":5000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,"
            + "\"budget_slack\":102,\"recovery_s\":12,\"pass_ms\":120,\"retry_after_s\":0,"
            + "\"version_ms\":8000,\"version_all_ms\":0}"
            + more
            + ",\"platform\":{\"address\":\""
            + store.address()
            + "\",\"form\":\"objects\",\"writes_per_s\":400,\"reads_per_s\":2000,"
            + "\"history_s\":20,\"value_bytes\":1048576,\"min_ttl_ms\":1000}}";
    Path file = temporary.resolve(role + "-" + number + ".json");
    Files.writeString(file, settings);
    Matcher matcher =
        Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\"")
            .matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!matcher.find()) {
      throw new IOException("deploy/system.toml has no role " + role);
    }
    Process process =
        launch(
            List.of(matcher.group(1).split(" ")),
            Map.of("CLEMENTINEFORD_BOOT", file.toString()),
            temporary.resolve(role + "-" + number + ".log"));
    record.line("started " + role + " on " + host + ", process " + process.pid());
    return process;
  }

  /** Starts a process that ends with the case. */
  Process launch(List<String> command, Map<String, String> environment, Path log)
      throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().putAll(environment);
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    Process process = builder.start();
    synchronized (processes) {
      processes.add(process);
    }
    return process;
  }

  void awaitReady(Entry entry) throws IOException, InterruptedException {
    for (int i = 0; i < 200; i++) {
      Http.Message answer =
          Http.call(
              entry.ready(),
              1_000,
              Http.head("GET /-/ready HTTP/1.1", "Host", "platform", "Connection", "close"),
              new byte[0],
              bytes -> {});
      if (!answer.start.isEmpty() && answer.status() == 200) {
        record.line("entry VM ready");
        return;
      }
      Thread.sleep(100);
    }
    throw new IOException("the entry VM did not become ready");
  }

  /** Appends the lines of the programs' logs that hold one of the words to the record. */
  void recordLogs(String... words) throws IOException {
    try (Stream<Path> files = Files.list(temporary)) {
      for (Path file : files.sorted().toList()) {
        if (file.toString().endsWith(".log")) {
          for (String line : Files.readAllLines(file)) {
            if (Stream.of(words).anyMatch(line::contains)) {
              record.line(file.getFileName() + ": " + line);
            }
          }
        }
      }
    }
  }

  private void endProcesses() {
    synchronized (processes) {
      processes.forEach(Process::destroyForcibly);
    }
  }

  @Override
  public void close() throws IOException {
    endProcesses();
    store.close();
    try (Stream<Path> files = Files.walk(temporary)) {
      files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
    }
  }

  /** A case; returns a sentence on how the rule was broken, or null if it held. */
  interface Case {
    String run(Deployment deployment) throws Exception;
  }

  /** Runs a case and ends this process with its exit code. */
  static void main(String[] arguments, Case test) {
    int code = 2;
    try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
      try {
        String broken = test.run(deployment);
        String result = broken == null ? "the rule held" : "the rule was broken: " + broken;
        deployment.record.line(result);
        System.out.println(result);
        code = broken == null ? 0 : 1;
      } catch (Exception | Error e) {
        deployment.record.line("the case could not run: " + e);
        System.out.println("the case could not run: " + e);
      }
    } catch (IOException e) {
      System.out.println("the case could not run: " + e);
    }
    System.exit(code);
  }
}
