package org.clementineford.bench.requests;

import java.util.List;
import java.util.Map;
import org.clementineford.bench.Measurement;
import org.clementineford.kernel.errors.SettingException;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;
import org.clementineford.kernel.settings.Settings;

/** Measures requests: {@code bin/measure requests --scenario NAME}. */
public final class RequestsMeasurement implements Measurement {
  private static final double LOSS_RATE = 400;
  private static final Setting<String> SCENARIO =
      new Setting<>(
          "scenario",
          "What to measure: throughput, fairness, faults or endpoint-loss.",
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
          "Non-idempotent requests (faults).",
          "2000",
          SettingParser.wholeNumber(1, 100_000));
  private static final Setting<Long> THREADS =
      new Setting<>("threads", "Event loops of each part.", "2", SettingParser.wholeNumber(1, 16));
  private static final Setting<Long> SEED =
      new Setting<>(
          "seed", "Seed of the schedule of faults.", "1", SettingParser.wholeNumber(0, 1L << 40));

  @Override
  public String name() {
    return "requests";
  }

  @Override
  public List<Setting<?>> settings() {
    return List.of(SCENARIO, RATE, SECONDS, REQUESTS, THREADS, SEED);
  }

  @Override
  public Map<String, Object> run(Settings settings) throws Exception {
    int threads = settings.get(THREADS).intValue();
    long seed = settings.get(SEED);
    double seconds = settings.get(SECONDS);
    return switch (settings.get(SCENARIO)) {
      case "throughput" -> new ThroughputScenario(settings.get(RATE), seconds, threads, seed).run();
      case "fairness" -> new FairnessScenario(seconds, threads, seed).run();
      case "faults" -> new FaultsScenario(settings.get(REQUESTS).intValue(), threads, seed).run();
      case "endpoint-loss" -> new EndpointLossScenario(LOSS_RATE, seconds, threads, seed).run();
      default ->
          throw new SettingException(
              "setting --scenario has the value \""
                  + settings.get(SCENARIO)
                  + "\"; give throughput, fairness, faults or endpoint-loss");
    };
  }
}
