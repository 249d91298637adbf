package org.clementineford.standins.kinds;

import java.util.List;
import org.clementineford.kernel.errors.SettingException;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;
import org.clementineford.kernel.settings.Settings;
import org.clementineford.standins.HttpStandIn;
import org.clementineford.standins.OriginStandIn;
import org.clementineford.standins.StandInContext;
import org.clementineford.standins.StandInKind;

/** Runs the stand-in of the weight origin as a process. */
public final class OriginKind implements StandInKind {
  private static final Setting<String> WEIGHTS =
      new Setting<>(
          "weights",
          "Versions to publish with their length in bytes, as MODEL/VERSION=LENGTH,...",
          "assistant/v1=8388608,assistant/v2=8388608",
          SettingParser.text());
  private static final Setting<Long> CHUNK_LENGTH =
      new Setting<>(
          "chunk-length",
          "Length of a chunk in bytes.",
          "4194304",
          SettingParser.wholeNumber(1, 1 << 30));
  private static final Setting<Long> BYTES_PER_SECOND =
      new Setting<>(
          "bytes-per-second",
          "Capacity of the link over all connections; 0 for no limit.",
          "0",
          SettingParser.wholeNumber(0, Long.MAX_VALUE));

  @Override
  public String name() {
    return "origin";
  }

  @Override
  public List<Setting<?>> settings() {
    return List.of(WEIGHTS, CHUNK_LENGTH, BYTES_PER_SECOND);
  }

  @Override
  public HttpStandIn create(StandInContext context, Settings settings) throws SettingException {
    OriginStandIn origin = new OriginStandIn(context, settings.get(BYTES_PER_SECOND));
    for (String entry : settings.get(WEIGHTS).split(",")) {
      String[] parts = entry.trim().split("[/=]");
      if (parts.length != 3) {
        throw new SettingException(
            "setting --weights has the entry \"" + entry + "\"; use MODEL/VERSION=LENGTH");
      }
      long length = SettingParser.wholeNumber(1, Long.MAX_VALUE).parse(parts[2]);
      origin.publish(parts[0], parts[1], length, settings.get(CHUNK_LENGTH).intValue());
    }
    return origin;
  }
}
