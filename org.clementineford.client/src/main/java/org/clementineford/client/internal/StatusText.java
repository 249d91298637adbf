package org.clementineford.client.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Formats the fleet status as text. */
final class StatusText {
  private StatusText() {}

  static String of(JsonNode status) {
    long highest = 0;
    Map<Long, Integer> countByRevision = new TreeMap<>();
    List<String> unreachable = new ArrayList<>();
    Map<String, Map<String, Integer>> versions = new TreeMap<>();
    List<String> transfers = new ArrayList<>();
    long since = 0;
    for (JsonNode member : status.path("members")) {
      if (!member.path("reachable").asBoolean()) {
        unreachable.add(member.path("vm").asText() + " (" + member.path("phase").asText() + ")");
        continue;
      }
      long revision = member.path("revision").asLong();
      countByRevision.merge(revision, 1, Integer::sum);
      if (revision >= highest) {
        since = revision > highest ? 0 : since;
        highest = revision;
        since = Math.max(since, member.path("inForceSinceMs").asLong());
      }
      for (JsonNode model : member.path("models")) {
        String version = model.path("servingVersion").asText("none");
        versions
            .computeIfAbsent(model.path("model").asText(), name -> new TreeMap<>())
            .merge(version, 1, Integer::sum);
        if (model.path("chunksHeld").asInt() < model.path("chunksTotal").asInt()) {
          transfers.add(transfer(member, model));
        }
      }
    }
    StringBuilder text = new StringBuilder();
    countByRevision.forEach(
        (revision, count) ->
            text.append("revision ")
                .append(revision)
                .append(" on ")
                .append(count)
                .append(" VMs\n"));
    if (since > 0) {
      text.append("revision ")
          .append(highest)
          .append(" in force on the last of them since ")
          .append(Instant.ofEpochMilli(since))
          .append('\n');
    }
    versions.forEach(
        (model, counts) ->
            text.append("model ").append(model).append(" by version ").append(counts).append('\n'));
    transfers.forEach(line -> text.append(line).append('\n'));
    text.append("unreachable: ").append(unreachable.isEmpty() ? "none" : unreachable);
    return text.toString();
  }

  private static String transfer(JsonNode member, JsonNode model) {
    return String.format(
        "transfer on %s: model %s version %s, %d of %d chunks, %d bytes from the origin, %d from"
            + " peers",
        member.path("vm").asText(),
        model.path("model").asText(),
        model.path("targetVersion").asText(),
        model.path("chunksHeld").asInt(),
        model.path("chunksTotal").asInt(),
        model.path("bytesFromOrigin").asLong(),
        model.path("bytesFromPeers").asLong());
  }
}
