package org.clementineford.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.clementineford.serving.directory.DirectoryCopyState;
import org.clementineford.serving.directory.DirectoryEntry;
import org.clementineford.serving.directory.HistoryPosition;
import org.clementineford.serving.directory.KeptEntry;
import org.clementineford.serving.directory.ObjectKind;
import org.clementineford.wire.DirectoryCopy;
import org.clementineford.wire.DirectoryObject;

/** Encodes copies of platform objects for peers, with only what the peer lacks. */
final class DirectoryCopyCodec {
  private DirectoryCopyCodec() {}

  /** Returns the operators' versions of a copy's objects, one object a line. */
  static String versions(DirectoryCopyState copy) {
    return copy.entries().stream()
        .map(entry -> entry.operatorVersion() + " " + entry.name())
        .collect(Collectors.joining("\n"));
  }

  /**
   * Encodes a copy. It has its objects if it is newer than the peer's copy; if not, it has those
   * that operators versioned higher than the peer's.
   *
   * @param kind kind of the objects
   * @param copy the copy
   * @param peerPosition position of the peer's copy
   * @param peerVersions the peer's {@link #versions}
   * @param now present time in monotonic nanoseconds
   */
  static DirectoryCopy encode(
      ObjectKind kind,
      DirectoryCopyState copy,
      HistoryPosition peerPosition,
      String peerVersions,
      long now) {
    DirectoryCopy encoded =
        new DirectoryCopy()
            .setKind(kind.name())
            .setEra(copy.position().era())
            .setRevision(copy.position().revision())
            .setProvenAgeMs(TimeUnit.NANOSECONDS.toMillis(copy.ageNanos(now)) + 1);
    if (copy.position().compareTo(peerPosition) > 0) {
      encoded.setObjects(encode(copy.entries()));
      copy.kept().forEach(kept -> setKeptTime(encoded.getObjects(), kept, now));
    } else if (kind.isVersionedByOperators()) {
      encoded.setHigherVersions(encode(higherVersions(copy, peerVersions)));
    }
    return encoded;
  }

  private static List<DirectoryObject> encode(List<DirectoryEntry> entries) {
    return entries.stream()
        .map(
            entry ->
                new DirectoryObject()
                    .setName(entry.name())
                    .setRevision(entry.revision())
                    .setContent(entry.content())
                    .setOperatorVersion(entry.operatorVersion()))
        .toList();
  }

  private static void setKeptTime(List<DirectoryObject> objects, KeptEntry kept, long now) {
    if (kept.until().isPresent()) {
      long remainingMs = TimeUnit.NANOSECONDS.toMillis(kept.until().getAsLong() - now);
      objects.stream()
          .filter(object -> object.getName().equals(kept.entry().name()))
          .forEach(object -> object.setKeptMs(Math.max(0, remainingMs)));
    }
  }

  /**
   * Returns the times until which a peer keeps entries that the platform lacks.
   *
   * @param objects objects of the peer's copy
   * @param sentAt time at which the copy was requested, which is not after that of the answer
   * @return monotonic times in nanoseconds, by name
   */
  static Map<String, Long> keptUntil(List<DirectoryObject> objects, long sentAt) {
    Map<String, Long> until = new HashMap<>();
    for (DirectoryObject object : objects) {
      if (object.isSetKeptMs()) {
        until.put(object.getName(), sentAt + TimeUnit.MILLISECONDS.toNanos(object.getKeptMs()));
      }
    }
    return until;
  }

  private static List<DirectoryEntry> higherVersions(DirectoryCopyState copy, String peerVersions) {
    Map<String, String> known = new HashMap<>();
    for (String line : peerVersions.split("\n")) {
      int space = line.indexOf(' ');
      known.put(line.substring(space + 1), line.substring(0, Math.max(0, space)));
    }
    return copy.entries().stream()
        .filter(entry -> entry.operatorVersion() > version(known.get(entry.name())))
        .toList();
  }

  /** Reads a version; an object that the peer lacks counts as below all versions. */
  private static long version(String text) {
    try {
      return text == null ? -1 : Long.parseLong(text);
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  static List<DirectoryEntry> decode(List<DirectoryObject> objects) {
    return objects.stream()
        .map(
            object ->
                new DirectoryEntry(
                    object.getName(),
                    object.getRevision(),
                    object.getContent(),
                    false,
                    object.getOperatorVersion()))
        .toList();
  }
}
