package org.clementineford.bench.requests;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.clementineford.bench.Measurement;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.SettingException;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;
import org.clementineford.kernel.settings.Settings;

/** Measurement of requests, run by {@code bin/measure requests --scenario NAME}. */
public final class RequestsMeasurement implements Measurement {
  private static final double MS_PER_SECOND = 1000;
  private static final double LOSS_RATE = 400;
  private static final Setting<String> SCENARIO =
      new Setting<>(
          "scenario",
          "What to measure: throughput, fairness, faults or endpoint-loss; entry-process runs the"
              + " entry VM of a throughput measurement.",
          "throughput",
          SettingParser.text());
  private static final Setting<Double> RATE =
      new Setting<>(
          "rate", "Requests per second (throughput).", "3400", SettingParser.number(1, 100_000));
  private static final Setting<Double> SECONDS =
      new Setting<>(
          "seconds",
          "Length of the measured load, in seconds.",
          "20",
          SettingParser.number(1, 600));
  private static final Setting<Long> REQUESTS =
      new Setting<>(
          "requests",
          "Number of non-idempotent requests (faults).",
          "2000",
          SettingParser.wholeNumber(1, 100_000));
  private static final Setting<Long> THREADS =
      new Setting<>(
          "threads",
          "Event loops for each part of the measurement.",
          "2",
          SettingParser.wholeNumber(1, 16));
  private static final Setting<List<HostPort>> ENTRY =
      new Setting<>(
          "entry",
          "HTTP address and peer address of an entry VM in its own process (throughput,"
              + " entry-process); empty to run it in the same process.",
          "",
          SettingParser.hostPorts());
  private static final Setting<Long> SEED =
      new Setting<>(
          "seed",
          "Seed of the fault schedule and the stand-ins.",
          "1",
          SettingParser.wholeNumber(0, 1L << 40));

  @Override
  public String name() {
    return "requests";
  }

  @Override
  public List<Setting<?>> settings() {
    return List.of(SCENARIO, RATE, SECONDS, REQUESTS, THREADS, ENTRY, SEED);
  }

  @Override
  public Map<String, Object> run(Settings settings) throws Exception {
    int threads = settings.get(THREADS).intValue();
    long seed = settings.get(SEED);
    double seconds = settings.get(SECONDS);
    return switch (settings.get(SCENARIO)) {
      case "throughput" ->
          new ThroughputScenario(settings.get(RATE), seconds, threads, seed, settings.get(ENTRY))
              .run();
      case "entry-process" -> runEntry(settings.get(ENTRY), seconds, threads);
      case "fairness" -> new FairnessScenario(seconds, threads, seed).run();
      case "faults" -> new FaultsScenario(settings.get(REQUESTS).intValue(), threads, seed).run();
      case "endpoint-loss" -> new EndpointLossScenario(LOSS_RATE, seconds, threads, seed).run();
      default ->
          throw new SettingException(
              "setting --scenario has the value \""
                  + settings.get(SCENARIO)
                  + "\"; give throughput, entry-process, fairness, faults or endpoint-loss");
    };
  }

  private static Map<String, Object> runEntry(List<HostPort> addresses, double seconds, int threads)
      throws ClementinefordException, InterruptedException {
    if (addresses.size() != 2) {
      throw new SettingException(
          "setting --entry needs two addresses; give for example 127.0.0.1:7080,127.0.0.1:7081");
    }
    try (RequestVm entry = Site.entryAlone(addresses.get(0), addresses.get(1), threads)) {
      new CountDownLatch(1).await((long) (seconds * MS_PER_SECOND), TimeUnit.MILLISECONDS);
      return Map.of("scenario", "entry-process", "entry", entry.toString());
    }
  }
}
