package org.clementineford.fleet;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.clementineford.serving.directory.DirectoryCopyState;
import org.clementineford.serving.directory.DirectoryEntries;
import org.clementineford.serving.directory.HistoryPosition;
import org.clementineford.serving.directory.KeptEntry;
import org.clementineford.serving.directory.ObjectKind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Log lines on restorations of the platform, and on what copies keep against it. */
final class DirectoryCopyLog {
  private static final Logger LOG = LoggerFactory.getLogger(DirectorySync.class);

  private DirectoryCopyLog() {}

  static void restored(ObjectKind kind, HistoryPosition before, HistoryPosition restored) {
    LOG.atWarn()
        .addKeyValue("kind", kind)
        .addKeyValue("eraBefore", before.era())
        .addKeyValue("era", restored.era())
        .addKeyValue("revisionBefore", before.revision())
        .addKeyValue("revision", restored.revision())
        .log("the platform was restored from a copy; listing all objects");
  }

  static void ignored(ObjectKind kind, DirectoryEntries answer) {
    LOG.atInfo()
        .addKeyValue("kind", kind)
        .addKeyValue("era", answer.era().orElse(0))
        .addKeyValue("revision", answer.revision())
        .log("ignored an answer from before the platform was restored");
  }

  /** Logs each entry that is used, or not used, against what the platform shows. */
  static void kept(ObjectKind kind, DirectoryCopyState copy, long now) {
    for (String name : copy.withheld()) {
      LOG.atInfo()
          .addKeyValue("kind", kind)
          .addKeyValue("name", name)
          .log("withheld an entry of a VM that had left before the platform was restored");
    }
    for (KeptEntry entry : copy.kept()) {
      OptionalLong until = entry.until();
      LOG.atInfo()
          .addKeyValue("kind", kind)
          .addKeyValue("name", entry.entry().name())
          .addKeyValue("version", entry.entry().operatorVersion())
          .addKeyValue("shownVersion", entry.shown().map(e -> e.operatorVersion()).orElse(-1L))
          .addKeyValue(
              "remainingMs",
              until.isPresent() ? TimeUnit.NANOSECONDS.toMillis(until.getAsLong() - now) : -1)
          .log("kept an entry that the platform does not show in this state");
    }
  }
}
