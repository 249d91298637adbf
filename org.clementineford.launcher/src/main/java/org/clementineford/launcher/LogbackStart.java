package org.clementineford.launcher;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Logback configurator that does nothing and prevents the search for configuration files, which
 * would delay the start. {@link LogConfiguration} configures the log.
 */
public final class LogbackStart extends ContextAwareBase implements Configurator {
  @Override
  public ExecutionStatus configure(LoggerContext context) {
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }
}
