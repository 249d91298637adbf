package org.clementineford.bench.configuration;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.HdrHistogram.Histogram;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.bench.Measurement;
import org.clementineford.configuration.DocumentEdit;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;
import org.clementineford.kernel.settings.Settings;
import org.clementineford.node.Node;

/**
 * Time from the submission of a change until it is in force on every process, with the platform up
 * and with the platform cut off right after it accepted the change.
 */
public final class ConfigurationMeasurement implements Measurement {
  private static final Setting<Long> PROCESSES =
      new Setting<>("processes", "Number of nodes.", "60", SettingParser.wholeNumber(6, 200));
  private static final Setting<Long> CHANGES =
      new Setting<>(
          "changes", "Number of changes of each kind.", "30", SettingParser.wholeNumber(1, 1000));
  private static final Setting<Long> SECTION_BYTES =
      new Setting<>(
          "section-bytes",
          "Length of the text of a section in bytes.",
          "2048",
          SettingParser.wholeNumber(100, 100_000));
  private static final Setting<Long> THREADS =
      new Setting<>("threads", "Event loops of all nodes.", "2", SettingParser.wholeNumber(1, 8));
  private static final Setting<Long> SEED =
      new Setting<>(
          "seed",
          "Seed of the choice of entry VMs.",
          "1",
          SettingParser.wholeNumber(Long.MIN_VALUE, Long.MAX_VALUE));
  private static final long LIMIT_MS = 20_000;
  private static final long GAP_MS = 300;
  private static final double NANOS_PER_MILLISECOND = 1e6;

  @Override
  public String name() {
    return "configuration";
  }

  @Override
  public List<Setting<?>> settings() {
    return List.of(PROCESSES, CHANGES, SECTION_BYTES, THREADS, SEED);
  }

  @Override
  public Map<String, Object> run(Settings settings) throws Exception {
    AtomicBoolean cut = new AtomicBoolean();
    RevisionLog log = new RevisionLog();
    int processes = settings.get(PROCESSES).intValue();
    try (ConfigurationFleet fleet =
        ConfigurationFleet.start(processes, settings.get(THREADS).intValue(), cut::get, log)) {
      fleet.awaitMembership(60_000);
      Run run = new Run(fleet, log, new Random(settings.get(SEED)), settings);
      Map<String, Object> figures = new LinkedHashMap<>();
      figures.put("processes", processes);
      figures.put("section_bytes", settings.get(SECTION_BYTES));
      final long callsBefore = fleet.platformCalls();
      final long startNanos = SystemNanoClock.INSTANCE.nanoTime();
      run.changes("platform_up", figures);
      double seconds = (SystemNanoClock.INSTANCE.nanoTime() - startNanos) / 1e9;
      figures.put("platform_calls_per_second", (fleet.platformCalls() - callsBefore) / seconds);
      final long quietBefore = fleet.platformCalls();
      ConfigurationFleet.pause(10_000);
      figures.put("platform_calls_per_second_quiet", (fleet.platformCalls() - quietBefore) / 10.0);
      cut.set(true);
      run.changes("platform_cut", figures);
      figures.put("revisions_decreased", log.decreases());
      return figures;
    }
  }

  private static final class Run {
    private final ConfigurationFleet fleet;
    private final RevisionLog log;
    private final Random random;
    private final int changes;
    private final int bytes;
    private final Map<String, Long> sections = new HashMap<>();

    Run(ConfigurationFleet fleet, RevisionLog log, Random random, Settings settings) {
      this.fleet = fleet;
      this.log = log;
      this.random = random;
      this.changes = settings.get(CHANGES).intValue();
      this.bytes = settings.get(SECTION_BYTES).intValue();
    }

    /**
     * Makes changes one after the other.
     *
     * @param label prefix of the figures
     * @param figures takes the figures
     */
    void changes(String label, Map<String, Object> figures) throws Exception {
      Histogram all = new Histogram(3);
      Histogram inside = new Histogram(3);
      int missed = 0;
      for (int i = 0; i < changes; i++) {
        List<Node> entries = fleet.entries();
        Node entry = entries.get(random.nextInt(entries.size()));
        long start = SystemNanoClock.INSTANCE.nanoTime();
        long revision = fleet.change(entry, edit(i));
        sections.put("section-" + i, revision);
        if (!ConfigurationFleet.await(() -> latest(null, revision) >= 0, LIMIT_MS)) {
          missed++;
        }
        record(all, latest(null, revision), start);
        record(inside, latest(entry.context().self().dataCentre(), revision), start);
        ConfigurationFleet.pause(GAP_MS);
      }
      put(figures, label + "_everywhere", all);
      put(figures, label + "_in_data_centre", inside);
      figures.put(label + "_changes", changes);
      figures.put(label + "_not_everywhere_within_20_s", missed);
    }

    private DocumentEdit edit(int number) {
      String section = "section-" + number;
      StringBuilder text =
          new StringBuilder(
              "models:\n  model-" + number + ": {version: v" + sections.size() + "}\n");
      while (text.length() < bytes) {
        text.append("# ").append(random.nextLong()).append('\n');
      }
      long base = sections.getOrDefault(section, 0L);
      return new DocumentEdit(
          "change-" + random.nextLong(), section, "bench", base, text.toString());
    }

    /** Returns when the last node had the revision, or -1 if one lacks it. */
    private long latest(String dataCentre, long revision) {
      long latest = 0;
      for (int i = 0; i < fleet.nodes().size(); i++) {
        String place = fleet.nodes().get(i).context().self().dataCentre();
        if (dataCentre == null || place.equals(dataCentre)) {
          long reached = log.reached(i, revision);
          if (reached < 0) {
            return -1;
          }
          latest = Math.max(latest, reached);
        }
      }
      return latest;
    }

    private static void record(Histogram histogram, long reachedNanos, long startNanos) {
      long taken =
          reachedNanos < 0 ? TimeUnit.MILLISECONDS.toNanos(LIMIT_MS) : reachedNanos - startNanos;
      histogram.recordValue(TimeUnit.NANOSECONDS.toMicros(taken));
    }

    private static void put(Map<String, Object> figures, String label, Histogram histogram) {
      double scale = NANOS_PER_MILLISECOND / 1000;
      figures.put(label + "_p50_ms", histogram.getValueAtPercentile(50) / scale);
      figures.put(label + "_p99_ms", histogram.getValueAtPercentile(99) / scale);
      figures.put(label + "_max_ms", histogram.getMaxValue() / scale);
    }
  }
}
