package org.clementineford.serving.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Local copy of all platform objects of one kind, with its revision and the last time at which it
 * was confirmed to be current. The revision never decreases. Times are nanoseconds of one monotonic
 * clock.
 */
public final class DirectoryCopyState {
  /**
   * Time for which an entry is kept that is missing or removed after an outage of the platform,
   * since endpoints register again within about two seconds after the outage.
   */
  static final long REREGISTRATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_900);

  private final Map<String, DirectoryEntry> entries = new HashMap<>();
  private final Map<String, Long> keepMissingUntil = new HashMap<>();
  private long revision;
  private long currentAt;
  private boolean loaded;

  /**
   * Replaces the copy by a full listing. A listing that is older than the copy is ignored. After an
   * outage, entries that the listing lacks are kept for {@link #REREGISTRATION_NANOS}.
   *
   * @param listed all objects of the kind
   * @param listedRevision revision of the platform at the listing
   * @param currentAt time at which the listing was current
   * @param afterOutage true if entries may be missing only because of an outage of the platform
   * @param now present time
   * @return true if an entry changed
   */
  public boolean replace(
      Collection<DirectoryEntry> listed,
      long listedRevision,
      long currentAt,
      boolean afterOutage,
      long now) {
    if (listedRevision < revision) {
      return false;
    }
    Map<String, DirectoryEntry> previous = new HashMap<>(entries);
    entries.clear();
    for (DirectoryEntry entry : listed) {
      entries.put(entry.name(), entry);
      keepMissingUntil.remove(entry.name());
    }
    for (DirectoryEntry old : previous.values()) {
      if (!entries.containsKey(old.name())) {
        if (afterOutage) {
          keepMissingUntil.putIfAbsent(old.name(), now + REREGISTRATION_NANOS);
        }
        if (keepMissingUntil.containsKey(old.name())) {
          entries.put(old.name(), old);
        }
      }
    }
    revision = listedRevision;
    confirm(currentAt);
    return !hasSameRevisions(previous);
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
   * Applies changes since the copy's revision.
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
      if (old != null && !change.removed() && old.revision() >= change.revision()) {
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
    revision = Math.max(revision, changedRevision);
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
   * Records that the platform had a given revision at a given time. If the copy has that revision
   * or a newer one, it was current at that time.
   *
   * @param confirmedRevision revision of the platform; ignored if the copy is older
   * @param time time at which the platform had that revision
   */
  public void confirmCurrent(long confirmedRevision, long time) {
    if (loaded && confirmedRevision <= revision) {
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
   * Returns the revision of the copy.
   *
   * @return revision of the platform up to which the copy contains all changes; 0 if not loaded
   */
  public long revision() {
    return revision;
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
