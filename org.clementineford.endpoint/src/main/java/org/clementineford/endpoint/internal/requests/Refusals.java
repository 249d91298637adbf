package org.clementineford.endpoint.internal.requests;

import org.clementineford.kernel.MessageCatalog;
import org.clementineford.requests.RefusalKind;
import org.clementineford.requests.RunState;
import org.clementineford.wire.Payload;
import org.clementineford.wire.Refusal;

/** Makes refusals with their texts. */
final class Refusals {
  private static final MessageCatalog MESSAGES = MessageCatalog.of(Refusals.class);

  private Refusals() {}

  /** Makes a refusal; the detail fills the placeholder of the text. */
  static Payload refusal(String requestId, RefusalKind kind, RunState run, String detail) {
    return Payload.refusal(
        new Refusal(
            requestId,
            kind.wireName(),
            org.clementineford.wire.RunState.valueOf(run.name()),
            MESSAGES.format(kind.wireName(), detail),
            retryAfterMs(kind)));
  }

  /** A caller may try again after a second, the interval of load reports. */
  private static long retryAfterMs(RefusalKind kind) {
    return kind.httpStatus() == 429 || kind.httpStatus() == 503 ? 1000 : 0;
  }
}
