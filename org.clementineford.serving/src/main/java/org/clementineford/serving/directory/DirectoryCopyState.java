package org.clementineford.serving.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Local copy of all platform objects of one kind, with its position in the platform's history and
 * the last time at which it was confirmed to be current. The revision never decreases within an
 * era. Times are nanoseconds of one monotonic clock.
 */
public final class DirectoryCopyState {
  /**
   * Time for which an entry is kept that is missing or removed after an outage of the platform,
   * since endpoints register again within about two seconds after the outage.
   */
  static final long REREGISTRATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_900);

  /** Time for which a VM is remembered that has left; well above the age of a platform's copy. */
  private static final long DEPARTED_NANOS = TimeUnit.MINUTES.toNanos(2);

  private final ObjectKind kind;
  private final long expiryNanos;
  private final Map<String, DirectoryEntry> entries = new HashMap<>();
  private final Map<String, KeptEntry> kept = new HashMap<>();
  private final Map<String, Long> departedAt = new HashMap<>();
  private final Map<String, WithheldEntry> withheld = new HashMap<>();
  private HistoryPosition position = HistoryPosition.START;
  private final CopyProof proof;
  private boolean loaded;

  /** Time up to which removed entries may be registered again; empty if there was no outage. */
  private OptionalLong registrationEnd = OptionalLong.empty();

  /** An entry that is not used, since its VM had left before the platform was restored. */
  private record WithheldEntry(DirectoryEntry entry, long until) {}

  /**
   * Creates a copy that is not loaded.
   *
   * @param kind kind of the objects
   * @param expiryNanos time after which the platform removes the entry of a VM that no longer
   *     writes it
   */
  public DirectoryCopyState(ObjectKind kind, long expiryNanos) {
    this.kind = kind;
    this.expiryNanos = expiryNanos;
    this.proof = new CopyProof(kind.isVersionedByOperators() ? REREGISTRATION_NANOS : 0);
  }

  /**
   * Records the end of an outage of the platform, in which the entries of VMs may have lapsed that
   * still run. Entries that are missing from now on are kept until {@link #REREGISTRATION_NANOS}
   * after this time.
   *
   * @param at time of the first answer after the outage
   */
  public void outageEnded(long at) {
    registrationEnd = OptionalLong.of(at + REREGISTRATION_NANOS);
  }

  private boolean mayRegisterAgain(long now) {
    return registrationEnd.isPresent() && now - registrationEnd.getAsLong() < 0;
  }

  /**
   * Replaces the copy by a full listing. A listing of the same era that is older than the copy is
   * ignored. After an outage, and in another era, entries that the listing lacks are kept for
   * {@link #REREGISTRATION_NANOS}, and objects that operators version until they are written again.
   * A lower version of such an object never replaces a higher one.
   *
   * @param listed all objects of the kind
   * @param listedPosition position of the platform's history at the listing
   * @param currentAt time at which the listing was current
   * @param now present time
   * @return true if an entry changed
   */
  public boolean replace(
      Collection<DirectoryEntry> listed, HistoryPosition listedPosition, long currentAt, long now) {
    final boolean first = !loaded;
    boolean otherEra = loaded && listedPosition.era() != position.era();
    if (!otherEra && listedPosition.revision() < position.revision()) {
      return false;
    }
    final boolean keepsMissing = mayRegisterAgain(now) || otherEra;
    final Map<String, DirectoryEntry> previous = new HashMap<>(entries);
    final Map<String, KeptEntry> keptBefore = new HashMap<>(kept);
    entries.clear();
    kept.clear();
    listed.forEach(entry -> entries.put(entry.name(), entry));
    withholdDeparted(otherEra, now);
    for (DirectoryEntry old : previous.values()) {
      DirectoryEntry shown = entries.get(old.name());
      KeptEntry keptOld = keptBefore.get(old.name());
      if (shown != null) {
        if (isLowerVersion(shown, old)) {
          keep(old, shown);
        }
      } else if (keptOld != null && !otherEra) {
        keepMissing(old, keptOld.until());
      } else if (keepsMissing) {
        keepMissing(old, keptUntil(otherEra, now));
      } else {
        departedAt.put(old.name(), now);
      }
    }
    if (first) {
      proof.loaded(listedPosition.era(), now);
    } else if (otherEra) {
      proof.eraChanged(keptBefore.isEmpty() && isWrittenAgain(previous, listedPosition.era()), now);
    }
    position = listedPosition;
    loaded = true;
    proof.answered(currentAt, now);
    return otherEra || !isSame(previous, keptBefore);
  }

  /**
   * Replaces the copy by that of a peer, as {@link #replace}. What the peer only keeps counts as
   * missing, unless this VM noticed the outage too or has just started; it is then kept no longer
   * here than there, since no change from its position on shows that it is missing.
   *
   * @param listed all entries of the peer's copy
   * @param keptUntil times until which the peer keeps entries that the platform lacks, by name
   * @param peerPosition position of the peer's copy
   * @param currentAt time at which the peer's copy was current
   * @param now present time
   * @return true if an entry changed
   */
  public boolean replaceWithPeerCopy(
      Collection<DirectoryEntry> listed,
      Map<String, Long> keptUntil,
      HistoryPosition peerPosition,
      long currentAt,
      long now) {
    final Map<String, KeptEntry> keptBefore = new HashMap<>(kept);
    final boolean keepsAsPeer = !loaded || mayRegisterAgain(now);
    Collection<DirectoryEntry> used =
        keepsAsPeer
            ? listed
            : listed.stream().filter(entry -> !keptUntil.containsKey(entry.name())).toList();
    boolean changed = replace(used, peerPosition, currentAt, now);
    if (keepsAsPeer && position.equals(peerPosition)) {
      keptUntil.forEach((name, until) -> keepAsPeer(name, until, keptBefore.get(name)));
    }
    return changed;
  }

  private void keepAsPeer(String name, long peerUntil, KeptEntry keptBefore) {
    DirectoryEntry entry = entries.get(name);
    if (entry != null) {
      OptionalLong before = keptBefore == null ? OptionalLong.empty() : keptBefore.until();
      boolean endsEarlier = before.isPresent() && before.getAsLong() - peerUntil < 0;
      keepMissing(entry, endsEarlier ? before : OptionalLong.of(peerUntil));
    }
  }

  /**
   * Takes the entries out of use that a restored platform shows again although their VMs had left.
   * Such an entry is used when it is written again, or when it stays for longer than the platform
   * keeps one that is not written.
   */
  private void withholdDeparted(boolean otherEra, long now) {
    final Map<String, WithheldEntry> before = new HashMap<>(withheld);
    withheld.clear();
    if (otherEra) {
      for (String name : departedAt.keySet()) {
        if (entries.containsKey(name)) {
          withheld.put(
              name, new WithheldEntry(entries.get(name), now + expiryNanos + REREGISTRATION_NANOS));
        }
      }
    } else {
      before.forEach(
          (name, entry) -> {
            DirectoryEntry shown = entries.get(name);
            if (shown != null && shown.revision() == entry.entry().revision()) {
              withheld.put(name, entry);
            }
          });
    }
    entries.keySet().removeAll(withheld.keySet());
    departedAt.keySet().removeAll(entries.keySet());
  }

  /**
   * Returns whether the platform shows all operators' objects as written in the era that follows
   * that of the copy: in the versions of the copy, at other revisions. A higher version may have
   * been written before the restoration, and a still higher one be lost.
   */
  private boolean isWrittenAgain(Map<String, DirectoryEntry> previous, long nextEra) {
    return nextEra == position.era() + 1
        && !previous.isEmpty()
        && previous.values().stream()
            .allMatch(
                old -> {
                  DirectoryEntry shown = entries.get(old.name());
                  return shown.operatorVersion() == old.operatorVersion()
                      && shown.revision() != old.revision()
                      && !kept.containsKey(old.name());
                });
  }

  /** Returns the time until which an entry that the platform lacks may be written again. */
  private OptionalLong keptUntil(boolean otherEra, long now) {
    if (!otherEra) {
      return registrationEnd;
    }
    return kind.isVersionedByOperators()
        ? OptionalLong.empty()
        : OptionalLong.of(now + REREGISTRATION_NANOS);
  }

  private static boolean isLowerVersion(DirectoryEntry entry, DirectoryEntry than) {
    return entry.operatorVersion() < than.operatorVersion();
  }

  private void keep(DirectoryEntry entry, DirectoryEntry shown) {
    entries.put(entry.name(), entry);
    kept.put(entry.name(), new KeptEntry(entry, Optional.of(shown), OptionalLong.empty()));
  }

  private void keepMissing(DirectoryEntry entry, OptionalLong until) {
    entries.put(entry.name(), entry);
    kept.put(entry.name(), new KeptEntry(entry, Optional.empty(), until));
  }

  private boolean isSame(Map<String, DirectoryEntry> previous, Map<String, KeptEntry> keptBefore) {
    if (previous.size() != entries.size()) {
      return false;
    }
    for (DirectoryEntry entry : entries.values()) {
      DirectoryEntry old = previous.get(entry.name());
      // The revision of an entry that was kept, here or by a peer, may be of another era.
      boolean isSameEntry =
          entry == old
              || (old != null
                  && old.revision() == entry.revision()
                  && old.operatorVersion() == entry.operatorVersion()
                  && !keptBefore.containsKey(entry.name()));
      if (!isSameEntry) {
        return false;
      }
    }
    return true;
  }

  /**
   * Applies changes since the copy's position, in the same era.
   *
   * @param changes changed and removed objects, oldest first
   * @param changedRevision revision of the platform after the changes
   * @param currentAt time up to which the changes are complete
   * @param now present time
   * @return true if an entry changed
   */
  public boolean apply(
      List<DirectoryEntry> changes, long changedRevision, long currentAt, long now) {
    boolean changed = false;
    final boolean keptBefore = !kept.isEmpty();
    for (DirectoryEntry change : changes) {
      DirectoryEntry old = entries.get(change.name());
      // The revision of an entry that is kept may be of another era.
      boolean isOlder =
          old != null && !kept.containsKey(change.name()) && old.revision() >= change.revision();
      if (isOlder && !change.removed()) {
        continue;
      }
      if (old != null && !change.removed() && isLowerVersion(change, old)) {
        keep(old, change);
        continue;
      }
      if (change.removed() && mayRegisterAgain(now) && old != null) {
        if (!kept.containsKey(change.name())) {
          keepMissing(old, registrationEnd);
        }
        continue;
      }
      kept.remove(change.name());
      withheld.remove(change.name());
      if (change.removed()) {
        changed |= entries.remove(change.name()) != null;
        departedAt.put(change.name(), now);
      } else {
        entries.put(change.name(), change);
        departedAt.remove(change.name());
        changed = true;
      }
    }
    position = new HistoryPosition(position.era(), Math.max(position.revision(), changedRevision));
    if (keptBefore && kept.isEmpty()) {
      proof.writtenAgain(now);
    }
    proof.answered(currentAt, now);
    return changed;
  }

  /**
   * Removes entries that did not register again in time after an outage, and takes those into use
   * that stayed in a restored platform.
   *
   * @param now present time
   * @return true if an entry changed
   */
  public boolean expire(long now) {
    departedAt.values().removeIf(at -> now - at > DEPARTED_NANOS);
    List<String> expired = new ArrayList<>();
    kept.forEach(
        (name, keptEntry) -> {
          if (keptEntry.until().isPresent() && now - keptEntry.until().getAsLong() >= 0) {
            expired.add(name);
          }
        });
    for (String name : expired) {
      kept.remove(name);
      entries.remove(name);
      departedAt.put(name, now);
    }
    return releaseWithheld(now) || !expired.isEmpty();
  }

  /** Takes the withheld entries into use whose time is over, and returns whether there were any. */
  private boolean releaseWithheld(long now) {
    List<WithheldEntry> released =
        withheld.values().stream().filter(entry -> now - entry.until() >= 0).toList();
    for (WithheldEntry entry : released) {
      withheld.remove(entry.entry().name());
      departedAt.remove(entry.entry().name());
      entries.put(entry.entry().name(), entry.entry());
    }
    return !released.isEmpty();
  }

  /**
   * Adds objects of a peer that operators versioned higher than the entries in use. They are kept
   * until the platform shows that version or a higher one.
   *
   * @param newer objects of the peer
   * @return true if an entry changed
   */
  public boolean addHigherVersions(Collection<DirectoryEntry> newer) {
    boolean changed = false;
    for (DirectoryEntry entry : newer) {
      DirectoryEntry old = entries.get(entry.name());
      if (old == null || isLowerVersion(old, entry)) {
        KeptEntry keptBefore = kept.get(entry.name());
        Optional<DirectoryEntry> shown =
            keptBefore == null ? Optional.ofNullable(old) : keptBefore.shown();
        entries.put(entry.name(), entry);
        kept.put(entry.name(), new KeptEntry(entry, shown, OptionalLong.empty()));
        changed = true;
      }
    }
    return changed;
  }

  /**
   * Returns the entries that are not used, since their VMs had left before the platform was
   * restored.
   *
   * @return names of the entries, in no particular order
   */
  public List<String> withheld() {
    return List.copyOf(withheld.keySet());
  }

  /**
   * Returns the entries that stay in use although the platform shows another state.
   *
   * @return an unmodifiable list, in no particular order
   */
  public List<KeptEntry> kept() {
    return List.copyOf(kept.values());
  }

  /**
   * Returns the time in which the platform's answers do not prove the copy current, since operators
   * may have yet to write again what a restored platform has lost.
   *
   * @param now present time
   * @return nanoseconds; 0 if its answers count
   */
  public long settlingNanos(long now) {
    return proof.settlingNanos(now);
  }

  /**
   * Records that the platform was at a given position at a given time. If the copy has that
   * revision or a newer one of the same era, it was current at that time.
   *
   * @param confirmed position of the platform; ignored if the copy is older or of another era
   * @param time time at which the platform was at that position
   */
  public void confirmCurrent(HistoryPosition confirmed, long time) {
    if (loaded
        && confirmed.era() == position.era()
        && confirmed.revision() <= position.revision()) {
      proof.confirm(time);
    }
  }

  /**
   * Returns the time since the copy was last confirmed to be current.
   *
   * @param now present time
   * @return nanoseconds; {@link Long#MAX_VALUE} if it never was
   */
  public long ageNanos(long now) {
    return proof.ageNanos(now);
  }

  /**
   * Returns whether the copy was loaded.
   *
   * @return false until the first listing
   */
  public boolean isLoaded() {
    return loaded;
  }

  /**
   * Returns whether the copy was ever confirmed to be current.
   *
   * @return false until the first confirmation
   */
  public boolean isProven() {
    return proof.isProven();
  }

  /**
   * Returns the position of the copy.
   *
   * @return position in the platform's history up to which the copy contains all changes; {@link
   *     HistoryPosition#START} if not loaded
   */
  public HistoryPosition position() {
    return position;
  }

  /**
   * Returns the entries.
   *
   * @return an unmodifiable list, in no particular order
   */
  public List<DirectoryEntry> entries() {
    return List.copyOf(entries.values());
  }
}
