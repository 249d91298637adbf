package org.clementineford.serving.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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

  private final Map<String, DirectoryEntry> entries = new HashMap<>();
  private final Map<String, Long> keepMissingUntil = new HashMap<>();
  private HistoryPosition position = HistoryPosition.START;
  private long currentAt;
  private boolean loaded;

  /**
   * Replaces the copy by a full listing. A listing of the same era that is older than the copy is
   * ignored. After an outage, and in another era, entries that the listing lacks are kept for
   * {@link #REREGISTRATION_NANOS}.
   *
   * @param listed all objects of the kind
   * @param listedPosition position of the platform's history at the listing
   * @param currentAt time at which the listing was current
   * @param afterOutage true if entries may be missing only because of an outage of the platform
   * @param now present time
   * @return true if an entry changed
   */
  public boolean replace(
      Collection<DirectoryEntry> listed,
      HistoryPosition listedPosition,
      long currentAt,
      boolean afterOutage,
      long now) {
    boolean otherEra = loaded && listedPosition.era() != position.era();
    if (!otherEra && listedPosition.revision() < position.revision()) {
      return false;
    }
    boolean keepsMissing = afterOutage || otherEra;
    Map<String, DirectoryEntry> previous = new HashMap<>(entries);
    entries.clear();
    for (DirectoryEntry entry : listed) {
      entries.put(entry.name(), entry);
      keepMissingUntil.remove(entry.name());
    }
    for (DirectoryEntry old : previous.values()) {
      if (!entries.containsKey(old.name())) {
        if (keepsMissing) {
          keepMissingUntil.putIfAbsent(old.name(), now + REREGISTRATION_NANOS);
        }
        if (keepMissingUntil.containsKey(old.name())) {
          entries.put(old.name(), old);
        }
      }
    }
    position = listedPosition;
    confirm(currentAt);
    return otherEra || !hasSameRevisions(previous);
  }

  private boolean hasSameRevisions(Map<String, DirectoryEntry> previous) {
    if (previous.size() != entries.size()) {
      return false;
    }
    for (DirectoryEntry entry : entries.values()) {
      DirectoryEntry old = previous.get(entry.name());
      if (old == null || old.revision() != entry.revision()) {
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
   * @param afterOutage true if entries may be removed only because of an outage of the platform
   * @param now present time
   * @return true if an entry changed
   */
  public boolean apply(
      List<DirectoryEntry> changes,
      long changedRevision,
      long currentAt,
      boolean afterOutage,
      long now) {
    boolean changed = false;
    for (DirectoryEntry change : changes) {
      DirectoryEntry old = entries.get(change.name());
      // The revision of an entry that is kept may be of another era.
      boolean isOlder =
          old != null
              && !keepMissingUntil.containsKey(change.name())
              && old.revision() >= change.revision();
      if (isOlder && !change.removed()) {
        continue;
      }
      if (change.removed() && afterOutage && old != null) {
        keepMissingUntil.putIfAbsent(change.name(), now + REREGISTRATION_NANOS);
        continue;
      }
      keepMissingUntil.remove(change.name());
      if (change.removed()) {
        changed |= entries.remove(change.name()) != null;
      } else {
        entries.put(change.name(), change);
        changed = true;
      }
    }
    position = new HistoryPosition(position.era(), Math.max(position.revision(), changedRevision));
    confirm(currentAt);
    return changed;
  }

  /**
   * Removes entries that did not register again in time after an outage.
   *
   * @param now present time
   * @return true if an entry was removed
   */
  public boolean expire(long now) {
    List<String> expired = new ArrayList<>();
    keepMissingUntil.forEach(
        (name, until) -> {
          if (now - until >= 0) {
            expired.add(name);
          }
        });
    expired.forEach(keepMissingUntil::remove);
    expired.forEach(entries::remove);
    return !expired.isEmpty();
  }

  private void confirm(long time) {
    if (!loaded || time - currentAt > 0) {
      currentAt = time;
      loaded = true;
    }
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
      confirm(time);
    }
  }

  /**
   * Returns the time since the copy was last confirmed to be current.
   *
   * @param now present time
   * @return nanoseconds; {@link Long#MAX_VALUE} if it never was
   */
  public long ageNanos(long now) {
    return loaded ? now - currentAt : Long.MAX_VALUE;
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
