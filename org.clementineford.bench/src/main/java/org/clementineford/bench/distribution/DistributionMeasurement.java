package org.clementineford.bench.distribution;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.clementineford.bench.Measurement;
import org.clementineford.kernel.DistributionPolicy;
import org.clementineford.kernel.errors.SettingException;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;
import org.clementineford.kernel.settings.Settings;

/** Measures how long a new version takes to reach all VMs, and what it costs. */
public final class DistributionMeasurement implements Measurement {
  private static final Setting<Long> VMS =
      new Setting<>("vms", "Number of endpoint VMs.", "40", SettingParser.wholeNumber(1, 200));
  private static final Setting<DistributionPolicy> POLICY =
      new Setting<>(
          "policy",
          "SHORTEST_TIME or FEWEST_ORIGIN_BYTES.",
          DistributionPolicy.SHORTEST_TIME.name(),
          DistributionMeasurement::policy);
  private static final Setting<Boolean> FAULTS =
      new Setting<>(
          "faults",
          "Kill one VM in ten, stall one link in ten, corrupt one chunk in a hundred.",
          "false",
          SettingParser.trueOrFalse());
  private static final Setting<Boolean> PACED =
      new Setting<>(
          "paced",
          "Tell the VMs the bandwidth between regions, so that they leave a share to requests.",
          "true",
          SettingParser.trueOrFalse());
  private static final Setting<Double> SECONDS =
      new Setting<>(
          "seconds",
          "T, the time that one copy needs over one VM's link.",
          "8",
          SettingParser.number(0.1, 30));
  private static final Setting<Long> COPY_KIB =
      new Setting<>(
          "copy-kib", "Length of one copy in KiB.", "8192", SettingParser.wholeNumber(64, 1 << 17));
  private static final Setting<Long> CHUNK_KIB =
      new Setting<>(
          "chunk-kib", "Length of a chunk in KiB.", "32", SettingParser.wholeNumber(1, 4096));
  private static final Setting<Double> REGION_LINK =
      new Setting<>(
          "region-link",
          "Bandwidth between two regions as a share of a VM's link.",
          "1",
          SettingParser.number(0.01, 100));
  private static final Setting<List<Baseline>> BASELINES =
      new Setting<>(
          "baseline",
          "What to compare with: origin, chain, all, or swarm for no baseline.",
          "all",
          DistributionMeasurement::baselines);
  private static final Setting<Long> SEED =
      new Setting<>(
          "seed", "Seed of the weights and faults.", "1", SettingParser.wholeNumber(0, 1L << 60));

  private static DistributionPolicy policy(String text) throws SettingException {
    for (DistributionPolicy policy : DistributionPolicy.values()) {
      if (policy.name().equals(text)) {
        return policy;
      }
    }
    throw new SettingException("give SHORTEST_TIME or FEWEST_ORIGIN_BYTES");
  }

  private static List<Baseline> baselines(String text) throws SettingException {
    return switch (text) {
      case "all" -> List.of(Baseline.values());
      case "origin" -> List.of(Baseline.ORIGIN);
      case "chain" -> List.of(Baseline.CHAIN);
      case "swarm" -> List.of();
      default -> throw new SettingException("give origin, chain, all or swarm");
    };
  }

  @Override
  public String name() {
    return "distribution";
  }

  @Override
  public List<Setting<?>> settings() {
    return List.of(
        VMS, POLICY, FAULTS, PACED, SECONDS, COPY_KIB, CHUNK_KIB, REGION_LINK, BASELINES, SEED);
  }

  @Override
  public Map<String, Object> run(Settings settings) throws Exception {
    RunPlan plan =
        new RunPlan(
            settings.get(VMS).intValue(),
            settings.get(POLICY),
            settings.get(COPY_KIB).intValue() << 10,
            settings.get(CHUNK_KIB).intValue() << 10,
            settings.get(SECONDS),
            settings.get(REGION_LINK),
            settings.get(PACED),
            settings.get(FAULTS),
            settings.get(SEED));
    // Compiles the code first; the VMs of a real fleet do not share one cold JVM.
    new DistributionRun(plan.warmUp()).run();
    Map<String, Object> figures = new DistributionRun(plan).run();
    double timeOverT = (double) figures.get("time_over_T");
    for (Baseline baseline : settings.get(BASELINES)) {
      try (BaselineRun run = new BaselineRun(baseline, plan)) {
        double baselineTime = run.timeOverT();
        String name = "baseline_" + baseline.name().toLowerCase(Locale.ROOT);
        figures.put(name + "_time_over_T", DistributionRun.round(baselineTime));
        figures.put(name + "_ratio", DistributionRun.round(baselineTime / timeOverT));
      }
    }
    return figures;
  }
}
