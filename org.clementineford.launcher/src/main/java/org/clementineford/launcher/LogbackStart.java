package org.clementineford.launcher;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.core.spi.ContextAwareBase;

/** Keeps Logback from its search for configuration files, which delays the start. */
public final class LogbackStart extends ContextAwareBase implements Configurator {
  @Override
  public ExecutionStatus configure(LoggerContext context) {
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }
}
