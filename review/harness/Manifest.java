package review;

import java.util.ArrayList;
import java.util.List;

/** Text of the operator's manifest, like that of the site gm-ops. */
final class Manifest {
  static final String HOST = "jepu9.example";
  private final long version;
  private final List<String> routes = new ArrayList<>();
  private final List<String> services = new ArrayList<>();
  private final List<String> tenants = new ArrayList<>();

  Manifest(long version) {
    this.version = version;
  }

  Manifest route(String prefix, String type, String service, int timeoutMs, int targetMs) {
    boolean stream = type.equals("stream");
    routes.add(
        "{\"name\":\"r-"
            + (routes.size() + 1)
            + "\",\"hostname\":\""
            + HOST
            + "\",\"path_prefix\":\""
            + prefix
            + "\",\"route_type\":\""
            + type
            + "\",\"timeout_ms\":"
            + timeoutMs
            + ",\"target_latency_ms\":"
            + targetMs
            + ",\"priority\":1,\"service\":\""
            + service
            + "\",\"max_attempts\":2,\"allow_anonymous\":false,\"session_affinity\":"
            + stream
            + ",\"can_resume\":"
            + stream
            + (stream ? ",\"target_gap_ms\":300" : "")
            + "}");
    return this;
  }

  Manifest plain(String service, int connections) {
    services.add(
        "{\"name\":\""
            + service
            + "\",\"health_path\":\"/healthz\",\"max_connections\":"
            + connections
            + ",\"protocol\":\"h1\",\"tls\":false}");
    return this;
  }

  Manifest engines(String service, String model, int chunks, int chunkBytes) {
    services.add(
        "{\"name\":\""
            + service
            + "\",\"health_path\":\"/healthz\",\"max_connections\":424,\"protocol\":\"h1\","
            + "\"tls\":false,\"engine\":{\"slots\":16,\"kv_tokens\":1640000,\"kv_bytes\":163840,"
            + "\"link_mbps\":400000.0,\"stride\":6,\"models\":[{\"name\":\""
            + model
            + "\",\"pace\":1.0,\"load_s\":4.0,\"warm_s\":0.3}],\"mb\":282000.0,"
            + "\"step_ms\":6.73,\"per_seq_ms\":0.0219,\"context_per_k\":0.0068,"
            + "\"read_per_s\":30600.0,\"pairs_per_m\":0.647,\"chunk\":2048,"
            + "\"report_lag_ms\":200.0,\"usual\":{\"prompt\":964,\"answer\":119},\"layers\":16,"
            + "\"layer_mb\":4540.0,\"chunks\":"
            + chunks
            + ",\"chunk_bytes\":"
            + chunkBytes
            + "}}");
    return this;
  }

  Manifest origin(String service, String address) {
    services.add(
        "{\"name\":\""
            + service
            + "\",\"origin\":\""
            + address
            + "\",\"zone\":\""
            + Deployment.ZONE
            + "\",\"link_mbps\":7.3,\"max_connections\":48}");
    return this;
  }

  Manifest tenant(String name, String... keys) {
    tenants.add(
        "{\"name\":\""
            + name
            + "\",\"api_keys\":["
            + (keys.length == 0 ? "" : "\"" + String.join("\",\"", keys) + "\"")
            + "]}");
    return this;
  }

  String text() {
    return "{\"version\":"
        + version
        + ",\"routes\":["
        + String.join(",", routes)
        + "],\"services\":["
        + String.join(",", services)
        + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":5000,\"idle_timeout_ms\":30000},\"tenants\":["
        + String.join(",", tenants)
        + "]}";
  }

  /** Returns the entry with which a server of a plain service registers. */
  static String entry(String service, String address, int slots, String state, long born) {
    return "{\"service\":\""
        + service
        + "\",\"address\":\""
        + address
        + "\",\"zone\":\""
        + Deployment.ZONE
        + "\",\"version\":\"v1\",\"slots\":"
        + slots
        + ",\"state\":\""
        + state
        + "\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":"
        + born
        + "}";
  }
}
