package org.clementineford.transport.http;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Responds to requests with all metrics of the process in Prometheus text format. */
public final class MetricsHandler implements HttpHandler {
  private final PrometheusRegistry registry;

  /**
   * Creates a handler.
   *
   * @param registry registry of the metrics
   */
  public MetricsHandler(PrometheusRegistry registry) {
    this.registry = registry;
  }

  @Override
  public void handle(HttpExchange exchange) {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
    try {
      writer.write(text, registry.scrape());
    } catch (IOException e) {
      byte[] errorText =
          "cannot write metrics; report this as a bug\n".getBytes(StandardCharsets.UTF_8);
      exchange.respond(500, Map.of("Content-Type", "text/plain; charset=utf-8"), errorText);
      return;
    }
    exchange.respond(200, Map.of("Content-Type", writer.getContentType()), text.toByteArray());
  }
}
