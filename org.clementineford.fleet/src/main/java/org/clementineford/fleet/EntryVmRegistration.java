package org.clementineford.fleet;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.clementineford.kernel.Scheduler;
import org.clementineford.serving.directory.ObjectDirectory;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps an entry VM registered at the platform, so that its peers find it. Not thread-safe: all
 * calls must come from the thread on which the futures of the directory complete.
 */
public final class EntryVmRegistration {
  private static final Logger LOG = LoggerFactory.getLogger(EntryVmRegistration.class);

  /** Delay before the second attempt, in milliseconds; doubles with each further one. */
  private static final long FIRST_RETRY_DELAY_MS = 500;

  /** Longest delay between two attempts, in milliseconds; each call to the platform is billed. */
  private static final long MAX_RETRY_DELAY_MS = 8_000;

  /**
   * Time over which VMs spread their registrations after a restoration, in milliseconds, since the
   * platform accepts only some hundred writes a second.
   */
  private static final long SPREAD_MS = 2_000;

  private final ObjectDirectory directory;
  private final Scheduler scheduler;
  private final DoubleSupplier random;
  private final String name;
  private final String address;
  private final String dataCentre;
  private Scheduler.Cancellable next;
  private int failures;

  /**
   * Creates a registration that does nothing yet.
   *
   * @param directory the platform's object API
   * @param scheduler runs attempts on the thread that uses this object
   * @param random random numbers of at least 0 and below 1
   * @param name name of the VM
   * @param address address at which it accepts requests of its peers
   * @param dataCentre its data centre
   */
  public EntryVmRegistration(
      ObjectDirectory directory,
      Scheduler scheduler,
      DoubleSupplier random,
      String name,
      String address,
      String dataCentre) {
    this.directory = directory;
    this.scheduler = scheduler;
    this.random = random;
    this.name = name;
    this.address = address;
    this.dataCentre = dataCentre;
  }

  /** Registers the VM, and tries again until the platform accepts it. */
  public void start() {
    attempt();
  }

  /** Registers the VM again, since a restored platform may have lost its entry. */
  public void repeat() {
    failures = 0;
    scheduleAttempt((long) (random.getAsDouble() * SPREAD_MS));
  }

  private void scheduleAttempt(long delayMs) {
    if (next != null) {
      next.cancel();
    }
    next = scheduler.schedule(this::attempt, delayMs, TimeUnit.MILLISECONDS);
  }

  private void attempt() {
    CompletableFuture.completedFuture(name)
        .thenCompose(vm -> directory.register(vm, address, dataCentre))
        .whenComplete((done, failure) -> ended(failure));
  }

  private void ended(Throwable failure) {
    if (failure == null) {
      LOG.atInfo().addKeyValue("vm", name).log("registered at the platform");
      failures = 0;
      return;
    }
    if (failures == 0) {
      LOG.atWarn()
          .addKeyValue("vm", name)
          .addKeyValue("reason", failure.getMessage())
          .log("registration at the platform failed; trying again until it succeeds");
    }
    scheduleAttempt(Math.min(MAX_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS << Math.min(failures, 4)));
    failures++;
  }
}
