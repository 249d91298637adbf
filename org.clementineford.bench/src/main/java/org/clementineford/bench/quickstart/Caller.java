package org.clementineford.bench.quickstart;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;
import org.clementineford.kernel.settings.Settings;
import org.clementineford.transport.EventLoopScheduler;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;

/**
 * Client of the quickstart. It waits until model version v1 is served, sends requests, prints
 * {@code sending} one second after it started to send, and exits after all engines answer from v2.
 * It fails if a request failed, a reservation ran twice, or a reservation's answer or refusal
 * contradicts the runs that the service counted.
 */
public final class Caller {
  private static final Setting<List<HostPort>> ENTRIES =
      new Setting<>("entries", "HTTP addresses of entry VMs.", null, SettingParser.hostPorts());
  private static final Setting<HostPort> ADMIN =
      new Setting<>("admin", "Admin address of an entry VM.", null, SettingParser.hostPort());
  private static final Setting<List<HostPort>> ENGINES =
      new Setting<>("engines", "Addresses of engines.", null, SettingParser.hostPorts());
  private static final Setting<HostPort> ORIGIN =
      new Setting<>("origin", "Address of the origin.", null, SettingParser.hostPort());
  private static final Setting<HostPort> SERVICE =
      new Setting<>("service", "Address of the plain service.", null, SettingParser.hostPort());
  private static final Setting<String> TOKEN =
      new Setting<>("token", "Bearer token of the client account.", null, SettingParser.text());
  private static final Setting<Long> LIMIT_SECONDS =
      new Setting<>(
          "limit-seconds",
          "Timeout for each wait, such as for a new model version, in seconds.",
          "30",
          SettingParser.wholeNumber(1, 600));
  private static final List<Setting<?>> SETTINGS =
      List.of(ENTRIES, ADMIN, ENGINES, ORIGIN, SERVICE, TOKEN, LIMIT_SECONDS);
  private static final long INTERVAL_MS = 10;
  private static final long POLL_MS = 100;
  private static final long SENDING_BEFORE_CHANGE_MS = 1000;
  private static final long SENDING_AFTER_CHANGE_MS = 1500;

  private final Settings settings;
  private final Scheduler scheduler;
  private final GroundTruth groundTruth;
  private final Traffic traffic;

  private Caller(Settings settings, EventLoopGroup eventLoops) throws ClementinefordException {
    this.settings = settings;
    this.scheduler = new EventLoopScheduler(eventLoops);
    HttpClient client = new HttpClient(eventLoops, LinkShaping.NONE);
    this.groundTruth =
        new GroundTruth(client, settings.get(ENGINES), settings.get(ORIGIN), settings.get(SERVICE));
    this.traffic =
        new Traffic(
            client,
            scheduler,
            settings.get(ENTRIES),
            settings.get(TOKEN),
            groundTruth.digests(List.of("v1", "v2")),
            "r");
  }

  /**
   * Runs the client.
   *
   * @param arguments command-line options
   */
  public static void main(String[] arguments) {
    EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    int exitCode = 0;
    try {
      new Caller(Settings.read(SETTINGS, arguments, Map.of()), eventLoops).run();
    } catch (ClementinefordException e) {
      System.err.println(e.getMessage());
      exitCode = e.kind().exitCode();
    }
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    System.exit(exitCode);
  }

  private void run() throws ClementinefordException {
    awaitVersion("v1");
    System.out.println(
        "model version before: v1 on " + groundTruth.engineCount() + " endpoint VMs");
    awaitEntryVms();
    traffic.start(INTERVAL_MS);
    pause(SENDING_BEFORE_CHANGE_MS);
    final long peerBytesBefore = groundTruth.peerBytes(settings.get(ADMIN));
    System.out.println("sending");
    awaitVersion("v2");
    pause(SENDING_AFTER_CHANGE_MS);
    traffic.stop();
    await(() -> "the requests in flight have not ended", traffic::allEnded);
    System.out.println("model version after: v2 on " + groundTruth.engineCount() + " endpoint VMs");
    print("lookups", traffic.lookups());
    print("reservations", traffic.reservations());
    System.out.println("answers by version: " + traffic.lookups().versions());
    System.out.println(
        "bytes from the origin: "
            + groundTruth.originBytes()
            + ", from peers: "
            + (peerBytesBefore + groundTruth.peerBytes(settings.get(ADMIN))));
    check();
  }

  private void awaitVersion(String version) throws ClementinefordException {
    await(
        () -> "version " + version + " is not loaded on all engines",
        () -> groundTruth.enginesWith(version) == groundTruth.engineCount());
  }

  /** Waits until each entry VM answers a lookup. Probes do not count in the results. */
  private void awaitEntryVms() throws ClementinefordException {
    Traffic probes = traffic.withSeparateCounts();
    for (HostPort entry : settings.get(ENTRIES)) {
      long before = probes.lookups().answeredCount();
      await(
          () -> "entry VM " + entry + " does not answer: " + probes.lookups().failures(),
          () -> {
            probes.lookUp(entry, "probe", true);
            return probes.lookups().answeredCount() > before;
          });
    }
  }

  private static void print(String kind, Outcomes outcomes) {
    System.out.println(
        kind
            + ": sent "
            + outcomes.sentCount()
            + ", answered "
            + outcomes.answeredCount()
            + ", refused "
            + outcomes.refusedCount()
            + ", failed "
            + outcomes.failedCount()
            + (outcomes.failedCount() == 0 ? "" : " " + outcomes.failures()));
  }

  private void check() throws ClementinefordException {
    Map<String, Integer> runs = groundTruth.runsByKey();
    long repeated = runs.values().stream().filter(count -> count > 1).count();
    long lost =
        traffic.reservations().answeredKeys().stream()
            .filter(key -> runs.getOrDefault(key, 0) != 1)
            .count();
    long ranThoughRefused =
        traffic.reservations().refusedKeys().stream().filter(runs::containsKey).count();
    System.out.println(
        "reservations that ran twice: "
            + repeated
            + ", answered but not run once: "
            + lost
            + ", refused but run: "
            + ranThoughRefused);
    long failed = traffic.lookups().failedCount() + traffic.reservations().failedCount();
    if (failed + repeated + lost + ranThoughRefused > 0) {
      throw new ClementinefordException(
          ErrorKind.INTERNAL, "requests failed or ran twice; see the counts above and run/*.log");
    }
    if (traffic.reservations().answeredCount() == 0 || traffic.lookups().answeredCount() == 0) {
      throw new ClementinefordException(ErrorKind.INTERNAL, "no request was answered");
    }
  }

  /** Waits until a condition holds. A poll that gets no answer is repeated, within the limit. */
  private void await(Supplier<String> reason, Condition condition) throws ClementinefordException {
    long limitNanos = TimeUnit.SECONDS.toNanos(settings.get(LIMIT_SECONDS));
    long start = SystemNanoClock.INSTANCE.nanoTime();
    boolean holds = false;
    while (!holds) {
      ClementinefordException unanswered = null;
      try {
        holds = condition.holds();
      } catch (ClementinefordException e) {
        if (!e.kind().isRetryable()) {
          throw e;
        }
        unanswered = e;
        System.err.println(e.getMessage());
      }
      if (!holds && SystemNanoClock.INSTANCE.nanoTime() - start > limitNanos) {
        throw new ClementinefordException(
            ErrorKind.UNAVAILABLE,
            reason.get() + " after " + settings.get(LIMIT_SECONDS) + " s; see run/*.log",
            unanswered);
      }
      if (!holds) {
        pause(POLL_MS);
      }
    }
  }

  private void pause(long millis) {
    CountDownLatch latch = new CountDownLatch(1);
    scheduler.schedule(latch::countDown, millis, TimeUnit.MILLISECONDS);
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @FunctionalInterface
  private interface Condition {
    boolean holds() throws ClementinefordException;
  }
}
