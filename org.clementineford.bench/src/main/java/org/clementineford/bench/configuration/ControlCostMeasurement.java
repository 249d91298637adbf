package org.clementineford.bench.configuration;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.bench.Measurement;
import org.clementineford.configuration.DocumentEdit;
import org.clementineford.kernel.errors.SettingException;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;
import org.clementineford.kernel.settings.Settings;
import org.clementineford.node.Node;

/** Traffic, processor share and heap that the agents of one process cost, for several sizes. */
public final class ControlCostMeasurement implements Measurement {
  private static final Setting<String> SIZES =
      new Setting<>(
          "sizes",
          "Numbers of processes, separated by commas.",
          "15,30,60,120",
          SettingParser.text());
  private static final Setting<Long> SECONDS =
      new Setting<>(
          "seconds",
          "Length of the quiet and of the busy phase in seconds.",
          "30",
          SettingParser.wholeNumber(5, 600));
  private static final Setting<Long> SECTION_BYTES =
      new Setting<>(
          "section-bytes",
          "Length of the text of a section in bytes.",
          "2048",
          SettingParser.wholeNumber(100, 100_000));
  private static final Setting<Long> SECTIONS =
      new Setting<>("sections", "Number of sections.", "8", SettingParser.wholeNumber(1, 400));
  private static final Setting<Long> THREADS =
      new Setting<>("threads", "Event loops of all nodes.", "2", SettingParser.wholeNumber(1, 8));
  // 2,600 changes a day at ten times their mean rate.
  private static final double CHANGES_PER_SECOND = 2600.0 * 10 / 86_400;
  private static final double DESIGN_PROCESSES = 1100;
  // A quiet hour has no joining processes; their statements spread for some seconds.
  private static final long SETTLE_MS = 15_000;

  @Override
  public String name() {
    return "control-cost";
  }

  @Override
  public List<Setting<?>> settings() {
    return List.of(SIZES, SECONDS, SECTION_BYTES, SECTIONS, THREADS);
  }

  @Override
  public Map<String, Object> run(Settings settings) throws Exception {
    Map<String, Object> figures = new LinkedHashMap<>();
    List<double[]> points = new ArrayList<>();
    for (String size : settings.get(SIZES).split(",")) {
      int processes;
      try {
        processes = Integer.parseInt(size.trim());
      } catch (NumberFormatException e) {
        throw new SettingException(
            "setting --sizes has the value \"" + size + "\": give whole numbers");
      }
      Map<String, Object> one = measure(processes, settings);
      points.add(
          new double[] {
            processes,
            (Double) one.get("busy_bytes_per_second_mean"),
            (Double) one.get("quiet_bytes_per_second_mean")
          });
      figures.put("at_" + processes, one);
    }
    if (points.size() > 1) {
      figures.put("busy_bytes_per_second_at_1100_extrapolated", extrapolate(points, 1));
      figures.put("quiet_bytes_per_second_at_1100_extrapolated", extrapolate(points, 2));
    }
    return figures;
  }

  /** Least-squares line through the points, read at the design size. */
  private static double extrapolate(List<double[]> points, int column) {
    double meanX = points.stream().mapToDouble(point -> point[0]).average().orElse(0);
    double meanY = points.stream().mapToDouble(point -> point[column]).average().orElse(0);
    double covariance = 0;
    double variance = 0;
    for (double[] point : points) {
      covariance += (point[0] - meanX) * (point[column] - meanY);
      variance += (point[0] - meanX) * (point[0] - meanX);
    }
    return meanY + covariance / variance * (DESIGN_PROCESSES - meanX);
  }

  private static Map<String, Object> measure(int processes, Settings settings) throws Exception {
    RevisionLog log = new RevisionLog();
    int threads = settings.get(THREADS).intValue();
    Map<String, Object> figures = new LinkedHashMap<>();
    try (ConfigurationFleet fleet =
        ConfigurationFleet.start(processes, threads, () -> false, log)) {
      fleet.awaitMembership(60_000);
      Load load = new Load(fleet, settings);
      load.fill();
      ConfigurationFleet.pause(SETTLE_MS);
      long seconds = settings.get(SECONDS);
      Meter quiet = new Meter(fleet);
      ConfigurationFleet.pause(seconds * 1000);
      quiet.put("quiet", figures);
      Meter busy = new Meter(fleet);
      load.run(seconds);
      busy.put("busy", figures);
      System.gc();
      Runtime runtime = Runtime.getRuntime();
      figures.put(
          "heap_bytes_per_process",
          (runtime.totalMemory() - runtime.freeMemory()) / (double) processes);
      figures.put("revisions_decreased", log.decreases());
    }
    return figures;
  }

  /** Figures of one phase. The processor share includes the platform stand-in. */
  private static final class Meter {
    private final ConfigurationFleet fleet;
    private final List<Long> bytes;
    private final long processorNanos;
    private final long startNanos;
    private final long calls;

    Meter(ConfigurationFleet fleet) {
      this.fleet = fleet;
      this.bytes = fleet.trafficBytes();
      this.processorNanos = processorNanos();
      this.startNanos = SystemNanoClock.INSTANCE.nanoTime();
      this.calls = fleet.platformCalls();
    }

    private static long processorNanos() {
      return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
          .getProcessCpuTime();
    }

    void put(String phase, Map<String, Object> figures) {
      final double seconds = (SystemNanoClock.INSTANCE.nanoTime() - startNanos) / 1e9;
      List<Long> now = fleet.trafficBytes();
      double[] rates = new double[now.size()];
      for (int i = 0; i < rates.length; i++) {
        rates[i] = (now.get(i) - bytes.get(i)) / seconds;
      }
      figures.put(
          phase + "_bytes_per_second_mean", Arrays.stream(rates).average().orElse(Double.NaN));
      figures.put(phase + "_bytes_per_second_max", Arrays.stream(rates).max().orElse(Double.NaN));
      double share = (processorNanos() - processorNanos) / 1e9 / seconds / rates.length;
      figures.put(phase + "_processor_percent_per_process", share * 100);
      figures.put(phase + "_platform_calls_per_second", (fleet.platformCalls() - calls) / seconds);
    }
  }

  private static final class Load {
    private final ConfigurationFleet fleet;
    private final int sections;
    private final int length;
    private final Map<String, Long> revisions = new HashMap<>();
    private int changes;

    Load(ConfigurationFleet fleet, Settings settings) {
      this.fleet = fleet;
      this.sections = settings.get(SECTIONS).intValue();
      this.length = settings.get(SECTION_BYTES).intValue();
    }

    void fill() throws Exception {
      for (int i = 0; i < sections; i++) {
        change();
      }
    }

    void run(long seconds) throws Exception {
      long start = SystemNanoClock.INSTANCE.nanoTime();
      int wanted = (int) Math.round(seconds * CHANGES_PER_SECOND);
      for (int i = 0; i < wanted; i++) {
        change();
        double nextSeconds = (i + 1) / CHANGES_PER_SECOND;
        ConfigurationFleet.await(
            () -> (SystemNanoClock.INSTANCE.nanoTime() - start) / 1e9 >= nextSeconds,
            seconds * 1000);
      }
    }

    private void change() throws Exception {
      List<Node> entries = fleet.entries();
      String section = "section-" + changes % sections;
      StringBuilder text = new StringBuilder("models:\n");
      // Version numbers that differ in each line, so that the text is not trivially repetitive.
      for (int line = 0; text.length() < length; line++) {
        text.append("  model-")
            .append(changes % sections)
            .append('-')
            .append(line)
            .append(": {version: v")
            .append(changes)
            .append('-')
            .append(Integer.toHexString((changes + 1) * (line + 1) * 0x9E3779B1))
            .append("}\n");
      }
      DocumentEdit edit =
          new DocumentEdit(
              "change-" + changes,
              section,
              "bench",
              revisions.getOrDefault(section, 0L),
              text.toString());
      revisions.put(section, fleet.change(entries.get(changes % entries.size()), edit));
      changes++;
    }
  }
}
