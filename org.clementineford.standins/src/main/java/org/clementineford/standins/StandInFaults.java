package org.clementineford.standins;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/** The faults that are active in one stand-in. */
public final class StandInFaults {
  private final Map<StandInFaultKind, Fault> active = new EnumMap<>(StandInFaultKind.class);
  private final SplittableRandom random;

  /**
   * Creates an instance without active faults.
   *
   * @param seed seed of the random choice of affected calls
   */
  public StandInFaults(long seed) {
    this.random = new SplittableRandom(seed);
  }

  /**
   * Activates a fault, replacing an earlier one of the same kind.
   *
   * @param fault the fault
   */
  public synchronized void set(Fault fault) {
    active.put(fault.kind(), fault);
  }

  /**
   * Activates a fault for all calls.
   *
   * @param kind kind of the fault
   */
  public void set(StandInFaultKind kind) {
    set(new Fault(kind, 1, Fault.UNLIMITED, 0));
  }

  /**
   * Activates a fault for the next calls.
   *
   * @param kind kind of the fault
   * @param count number of calls
   */
  public void setNext(StandInFaultKind kind, long count) {
    set(new Fault(kind, 1, count, 0));
  }

  /**
   * Deactivates a fault.
   *
   * @param kind kind of the fault
   */
  public synchronized void clear(StandInFaultKind kind) {
    active.remove(kind);
  }

  /**
   * Returns whether a fault is active, without counting a call.
   *
   * @param kind kind of the fault
   * @return true until the fault is cleared or has affected its number of calls
   */
  public synchronized boolean isActive(StandInFaultKind kind) {
    return active.containsKey(kind);
  }

  /**
   * Decides whether a fault affects the current call, and counts the call if so.
   *
   * @param kind kind of the fault
   * @return the fault, or empty if it does not affect the call
   */
  public synchronized Optional<Fault> tryConsume(StandInFaultKind kind) {
    Fault fault = active.get(kind);
    if (fault == null || (fault.share() < 1 && random.nextDouble() >= fault.share())) {
      return Optional.empty();
    }
    if (fault.count() == 1) {
      active.remove(kind);
    } else if (fault.count() > 1) {
      active.put(kind, new Fault(kind, fault.share(), fault.count() - 1, fault.millis()));
    }
    return Optional.of(fault);
  }

  /**
   * Fault that is injected into calls.
   *
   * @param kind kind of the fault
   * @param share fraction of the calls that are affected, 0 to 1
   * @param count calls to affect before the fault ends; {@link #UNLIMITED} for no end
   * @param millis delay in milliseconds, for kinds that have one
   */
  public record Fault(StandInFaultKind kind, double share, long count, long millis) {
    /** Count of a fault that stays until it is cleared. */
    public static final long UNLIMITED = -1;
  }
}
