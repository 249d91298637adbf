package org.clementineford.node.internal;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Map;
import org.clementineford.configuration.DocumentEdit;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.transport.http.HttpExchange;

/** Routes of the admin server that read and change the document. */
final class DocumentRoutes {
  private static final ObjectMapper JSON =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private final ConfigurationAgent configuration;
  private final DocumentOperations operations;

  DocumentRoutes(ConfigurationAgent configuration, DocumentOperations operations) {
    this.configuration = configuration;
    this.operations = operations;
  }

  void register(AdminRoutes routes) {
    routes.register("GET", "/document", this::inForce);
    routes.register("GET", "/document/stored", this::stored);
    routes.register("POST", "/document/apply", this::apply);
  }

  private void inForce(HttpExchange exchange) {
    AdminRoutes.respondJson(exchange, configuration.document());
  }

  private void stored(HttpExchange exchange) {
    operations
        .read()
        .whenComplete(
            (document, failure) -> {
              if (failure == null) {
                AdminRoutes.respondJson(exchange, document);
              } else {
                AdminRoutes.respondFailure(exchange, ClementinefordExceptions.from(failure));
              }
            });
  }

  private void apply(HttpExchange exchange) {
    DocumentEdit edit;
    try {
      edit = JSON.readValue(exchange.request().body(), DocumentEdit.class);
    } catch (IOException e) {
      edit = null;
    }
    if (edit == null || edit.identity() == null || edit.section() == null || edit.team() == null) {
      AdminRoutes.respondFailure(
          exchange,
          new ClementinefordException(
              ErrorKind.INVALID_DOCUMENT,
              "the body is malformed; send {identity, section, team, baseRevision, text}"));
      return;
    }
    operations
        .apply(edit)
        .whenComplete(
            (result, failure) -> {
              if (failure != null) {
                AdminRoutes.respondFailure(exchange, ClementinefordExceptions.from(failure));
                return;
              }
              AdminRoutes.respondJson(
                  exchange,
                  Map.of(
                      "change",
                      result.change(),
                      "alreadyApplied",
                      result.alreadyApplied(),
                      "warnings",
                      result.warnings()));
            });
  }
}
