package org.clementineford.endpoint.internal.requests;

import org.clementineford.kernel.MessageCatalog;
import org.clementineford.requests.RefusalKind;
import org.clementineford.requests.RunState;
import org.clementineford.wire.Payload;
import org.clementineford.wire.Refusal;

/** Creates {@code Refusal} payloads with their message texts. */
final class RefusalPayloads {
  private static final MessageCatalog MESSAGES = MessageCatalog.of(RefusalPayloads.class);

  private RefusalPayloads() {}

  /** Creates a refusal; the detail replaces the placeholder in the message text. */
  static Payload create(String requestId, RefusalKind kind, RunState run, String detail) {
    return Payload.refusal(
        new Refusal(
            requestId,
            kind.wireName(),
            org.clementineford.wire.RunState.valueOf(run.name()),
            MESSAGES.format(kind.wireName(), detail),
            retryAfterMs(kind)));
  }

  /**
   * Returns the delay before the caller may retry: 1 s, the interval of load reports, for statuses
   * 429 and 503; 0 otherwise.
   */
  private static long retryAfterMs(RefusalKind kind) {
    return kind.httpStatus() == 429 || kind.httpStatus() == 503 ? 1000 : 0;
  }
}
