package org.clementineford.standins.kinds;

import java.util.List;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;
import org.clementineford.kernel.settings.Settings;
import org.clementineford.standins.EngineOptions;
import org.clementineford.standins.EngineStandIn;
import org.clementineford.standins.HttpStandIn;
import org.clementineford.standins.StandInContext;
import org.clementineford.standins.StandInKind;

/** Runs the engine stand-in as a process. */
public final class EngineKind implements StandInKind {
  private static final long MAX_MS = 600_000;
  private static final Setting<Long> FIRST_TOKEN_MS =
      new Setting<>(
          "first-token-ms",
          "Time to the first token, in milliseconds.",
          "50",
          SettingParser.wholeNumber(0, MAX_MS));
  private static final Setting<Long> BETWEEN_TOKENS_MS =
      new Setting<>(
          "between-tokens-ms",
          "Time between tokens, in milliseconds; 0 sends all at once.",
          "10",
          SettingParser.wholeNumber(0, MAX_MS));
  private static final Setting<Long> TOKENS =
      new Setting<>(
          "tokens",
          "Tokens of an answer whose request has no max_tokens.",
          "16",
          SettingParser.wholeNumber(1, 1_000_000));
  private static final Setting<Long> SLOTS =
      new Setting<>(
          "slots",
          "Requests that fit into the batch.",
          "32",
          SettingParser.wholeNumber(1, 1_000_000));
  private static final Setting<Boolean> CHECKS_FENCING =
      new Setting<>(
          "checks-fencing",
          "Whether orders with an old fencing number are refused.",
          "true",
          SettingParser.trueOrFalse());
  private static final Setting<Long> LOAD_LAG_MS =
      new Setting<>(
          "load-lag-ms",
          "Time between updates of the load report, in milliseconds.",
          "200",
          SettingParser.wholeNumber(0, MAX_MS));

  @Override
  public String name() {
    return "engine";
  }

  @Override
  public List<Setting<?>> settings() {
    return List.of(FIRST_TOKEN_MS, BETWEEN_TOKENS_MS, TOKENS, SLOTS, CHECKS_FENCING, LOAD_LAG_MS);
  }

  @Override
  public HttpStandIn create(StandInContext context, Settings settings) {
    return new EngineStandIn(
        context,
        new EngineOptions(
            settings.get(FIRST_TOKEN_MS),
            settings.get(BETWEEN_TOKENS_MS),
            settings.get(TOKENS).intValue(),
            settings.get(SLOTS).intValue(),
            settings.get(CHECKS_FENCING),
            settings.get(LOAD_LAG_MS)));
  }
}
