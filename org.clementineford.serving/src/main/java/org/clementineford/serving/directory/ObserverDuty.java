package org.clementineford.serving.directory;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * Decides whether an entry VM watches the platform itself, as an observer, or follows the observers
 * of its data centre. It answers the load of calls to the platform, which would grow with the
 * fleet. There is no election: each VM decides by itself, from the observers that it heard lately.
 * Too many observers cost calls only; with too few, a VM becomes one after a bounded time. Times
 * are nanoseconds of one monotonic clock that counts the time for which the VM was suspended.
 */
public final class ObserverDuty {
  /** Observers of a data centre, so that the loss of one leaves the others their copies. */
  static final int OBSERVERS = 2;

  /** Time without a sound answer after which an observer counts as lost. */
  static final long LOST_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** Time for which enough better observers must be heard before a VM ends its own watches. */
  static final long SURPLUS_NANOS = TimeUnit.SECONDS.toNanos(2);

  /**
   * Unit of the time for which a follower waits that lost all observers. The best one waits for 1,
   * the next for 3, 6, 10 and so on: the first ones get their copies over a busy link before all
   * others ask for theirs.
   */
  static final long URGENT_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /** Longest time for which a follower waits that lost all observers. */
  static final long MAX_URGENT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  /** Time over which followers spread when an observer is left. */
  static final long SPREAD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  private final String self;
  private final DoubleSupplier random;
  private final Map<String, Long> heardAt = new HashMap<>();

  /** Times of the answers to this VM's questions; what only announces may not hear it. */
  private final Map<String, Long> answeredAt = new HashMap<>();

  private boolean observing = true;
  private OptionalLong surplusSince = OptionalLong.empty();
  private OptionalLong lackingSince = OptionalLong.empty();
  private double spread;

  /** What a VM has to do after an update. */
  public enum Step {
    /** Go on as before. */
    NONE,
    /** Watch the platform from now on. */
    OBSERVE,
    /** End the watches and follow the observers of the data centre. */
    FOLLOW
  }

  /**
   * Creates the duty of a VM that has just started, and observes.
   *
   * @param self name of this VM among those of its data centre
   * @param random random numbers of at least 0 and below 1
   */
  public ObserverDuty(String self, DoubleSupplier random) {
    this.self = self;
    this.random = random;
  }

  /**
   * Records what another VM of the data centre announced of its copy.
   *
   * @param vm name of the VM
   * @param isSoundObserver true if it watches the platform and its copies are not overdue
   * @param now present time
   */
  public void heard(String vm, boolean isSoundObserver, long now) {
    if (isSoundObserver) {
      heardAt.put(vm, now);
    } else {
      heardAt.remove(vm);
      answeredAt.remove(vm);
    }
  }

  /**
   * Records what another VM of the data centre answered to a question of this VM.
   *
   * @param vm name of the VM
   * @param isSoundObserver true if it watches the platform and its copies are not overdue
   * @param now present time
   */
  public void answered(String vm, boolean isSoundObserver, long now) {
    heard(vm, isSoundObserver, now);
    if (isSoundObserver) {
      answeredAt.put(vm, now);
    }
  }

  /**
   * Returns whether this VM follows and lacks the answer of an observer that it hears.
   *
   * @param vm name of the observer
   * @return true if the observer should be asked at once
   */
  public boolean lacksAnswer(String vm) {
    return !observing
        && heardAt.containsKey(vm)
        && !answeredAt.containsKey(vm)
        && answeredAt.size() < OBSERVERS;
  }

  /**
   * Returns whether a VM may answer a call. What is heard but does not answer questions would only
   * delay a call to another one.
   *
   * @param vm name of the VM
   * @return true if it answered lately, or none did
   */
  public boolean mayAnswer(String vm) {
    return answeredAt.containsKey(vm) || answeredAt.isEmpty();
  }

  /**
   * Decides what to do now.
   *
   * @param isSound false if the copies of this VM are overdue
   * @param vms names of the other entry VMs in the data centre
   * @param now present time
   * @return the step
   */
  public Step update(boolean isSound, Collection<String> vms, long now) {
    heardAt.values().removeIf(at -> now - at > LOST_NANOS);
    answeredAt.values().removeIf(at -> now - at > LOST_NANOS);
    return observing ? updateObserver(isSound, now) : updateFollower(isSound, vms, now);
  }

  private Step updateObserver(boolean isSound, long now) {
    long better = heardAt.keySet().stream().filter(vm -> rank(vm) < rank(self)).count();
    if (better < OBSERVERS || !isSound) {
      surplusSince = OptionalLong.empty();
      return Step.NONE;
    }
    if (surplusSince.isEmpty()) {
      surplusSince = OptionalLong.of(now);
    }
    if (now - surplusSince.getAsLong() < SURPLUS_NANOS) {
      return Step.NONE;
    }
    observing = false;
    lackingSince = OptionalLong.empty();
    // The first answers are still to come.
    answeredAt.putAll(heardAt);
    return Step.FOLLOW;
  }

  private Step updateFollower(boolean isSound, Collection<String> vms, long now) {
    if (answeredAt.size() >= OBSERVERS && isSound) {
      lackingSince = OptionalLong.empty();
      return Step.NONE;
    }
    if (lackingSince.isEmpty()) {
      lackingSince = OptionalLong.of(now);
      spread = random.getAsDouble();
    }
    boolean urgent = answeredAt.isEmpty() || !isSound;
    long delay = urgent ? urgentDelayNanos(vms) : (long) (spread * SPREAD_NANOS);
    if (now - lackingSince.getAsLong() < delay) {
      return Step.NONE;
    }
    observing = true;
    surplusSince = OptionalLong.empty();
    return Step.OBSERVE;
  }

  private long urgentDelayNanos(Collection<String> vms) {
    long better = vms.stream().filter(vm -> rank(vm) < rank(self)).count();
    return Math.min(MAX_URGENT_NANOS, URGENT_STEP_NANOS * (better + 1) * (better + 2) / 2);
  }

  /**
   * Returns whether this VM watches the platform.
   *
   * @return true for an observer
   */
  public boolean isObserving() {
    return observing;
  }

  /**
   * Returns the observers to follow.
   *
   * @return names of up to two observers that were heard lately, those first that answered, and the
   *     best of them
   */
  public List<String> observers() {
    Comparator<String> answeredFirst =
        Comparator.comparing((String vm) -> !answeredAt.containsKey(vm));
    return heardAt.keySet().stream()
        .sorted(answeredFirst.thenComparingLong(ObserverDuty::rank).thenComparing(vm -> vm))
        .limit(OBSERVERS)
        .toList();
  }

  /** Returns a number that orders VMs in the same way on all of them. */
  private static long rank(String vm) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < vm.length(); i++) {
      hash = (hash ^ vm.charAt(i)) * 0x100000001b3L;
    }
    hash = (hash ^ (hash >>> 32)) * 0x9e3779b97f4a7c15L;
    return hash ^ (hash >>> 29);
  }
}
