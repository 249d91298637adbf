package org.clementineford.launcher;

/**
 * Check of the settings file, which may be requested before the settings were read; it then runs as
 * soon as they are. Thread-safe.
 */
final class SettingsCheck {
  private Runnable check;
  private boolean requested;

  /** Runs the check now, or once it is enabled. */
  synchronized void request() {
    if (check == null) {
      requested = true;
    } else {
      check.run();
    }
  }

  /** Enables the check, and runs it if it was requested before. */
  synchronized void enable(Runnable settingsCheck) {
    check = settingsCheck;
    if (requested) {
      check.run();
    }
  }
}
