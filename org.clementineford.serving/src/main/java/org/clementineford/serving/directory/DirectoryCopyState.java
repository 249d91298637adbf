package org.clementineford.serving.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Copy of all objects of one kind, with its revision and the time at which it was last proven to be
 * current. Revisions never decrease. Times are nanoseconds of one monotonic clock.
 */
public final class DirectoryCopyState {
  /**
   * How long an entry that a full listing lacks is kept after an outage of the platform, since
   * endpoints register again within about two seconds of its return.
   */
  static final long REGISTRATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_900);

  private final Map<String, StoredEntry> entries = new HashMap<>();
  private final Map<String, Long> missingUntil = new HashMap<>();
  private long revision;
  private long provenAt;
  private boolean proven;

  /**
   * Replaces the copy by a full listing. A listing that is older than the copy is ignored.
   *
   * @param listed all objects of the kind
   * @param at revision of the platform at the listing
   * @param provenAt time at which the listing was current
   * @param afterOutage true if entries may be missing only because the platform was away
   * @param now present time
   * @return true if an entry changed
   */
  public boolean replace(
      Collection<StoredEntry> listed, long at, long provenAt, boolean afterOutage, long now) {
    if (at < revision) {
      return false;
    }
    Map<String, StoredEntry> previous = new HashMap<>(entries);
    entries.clear();
    for (StoredEntry entry : listed) {
      entries.put(entry.name(), entry);
      missingUntil.remove(entry.name());
    }
    for (StoredEntry old : previous.values()) {
      if (!entries.containsKey(old.name())) {
        if (afterOutage) {
          missingUntil.putIfAbsent(old.name(), now + REGISTRATION_NANOS);
        }
        if (missingUntil.containsKey(old.name())) {
          entries.put(old.name(), old);
        }
      }
    }
    revision = at;
    prove(provenAt);
    return !sameRevisions(previous);
  }

  private boolean sameRevisions(Map<String, StoredEntry> previous) {
    if (previous.size() != entries.size()) {
      return false;
    }
    for (StoredEntry entry : entries.values()) {
      StoredEntry old = previous.get(entry.name());
      if (old == null || old.revision() != entry.revision()) {
        return false;
      }
    }
    return true;
  }

  /**
   * Takes in changes since the copy's revision.
   *
   * @param changes changed and removed objects, oldest first
   * @param at revision of the platform after the changes
   * @param provenAt time at which the changes were complete
   * @param afterOutage true if entries may be removed only because the platform was away
   * @param now present time
   * @return true if an entry changed
   */
  public boolean apply(
      List<StoredEntry> changes, long at, long provenAt, boolean afterOutage, long now) {
    boolean changed = false;
    for (StoredEntry change : changes) {
      StoredEntry old = entries.get(change.name());
      if (old != null && !change.removed() && old.revision() >= change.revision()) {
        continue;
      }
      if (change.removed() && afterOutage && old != null) {
        missingUntil.putIfAbsent(change.name(), now + REGISTRATION_NANOS);
        continue;
      }
      missingUntil.remove(change.name());
      if (change.removed()) {
        changed |= entries.remove(change.name()) != null;
      } else {
        entries.put(change.name(), change);
        changed = true;
      }
    }
    revision = Math.max(revision, at);
    prove(provenAt);
    return changed;
  }

  /**
   * Drops entries that did not return in time after an outage.
   *
   * @param now present time
   * @return true if an entry was dropped
   */
  public boolean expire(long now) {
    List<String> gone = new ArrayList<>();
    missingUntil.forEach(
        (name, until) -> {
          if (now - until >= 0) {
            gone.add(name);
          }
        });
    gone.forEach(missingUntil::remove);
    gone.forEach(entries::remove);
    return !gone.isEmpty();
  }

  private void prove(long time) {
    if (!proven || time - provenAt > 0) {
      provenAt = time;
      proven = true;
    }
  }

  /**
   * Notes that the copy was current at a time.
   *
   * @param at revision for which that is known; ignored if the copy is older
   * @param time the time
   */
  public void proveCurrent(long at, long time) {
    if (proven && at <= revision) {
      prove(time);
    }
  }

  /**
   * Returns the time since the copy was last known to be current.
   *
   * @param now present time
   * @return nanoseconds; {@link Long#MAX_VALUE} if that was never known
   */
  public long ageNanos(long now) {
    return proven ? now - provenAt : Long.MAX_VALUE;
  }

  /**
   * Tells whether there is a copy.
   *
   * @return false until the first listing
   */
  public boolean isKnown() {
    return proven;
  }

  /**
   * Returns the revision.
   *
   * @return revision of the platform up to which changes are in the copy; 0 for none
   */
  public long revision() {
    return revision;
  }

  /**
   * Returns the entries.
   *
   * @return a copy, in no particular order
   */
  public List<StoredEntry> entries() {
    return List.copyOf(entries.values());
  }
}
