package org.clementineford.serving.streams;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits the bytes of an event stream into whole events, so that a stream that breaks off inside an
 * event can continue from another endpoint.
 *
 * <p>Source: WHATWG HTML Living Standard, section 9.2, "Server-sent events".
 */
public final class EventSplitter {
  private static final byte[] IDENTITY_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private boolean lineEmpty = true;

  /**
   * Takes in bytes.
   *
   * @param bytes the next bytes of the stream
   * @return the events that they complete, each with the blank line that ends it
   */
  public List<StreamEvent> add(byte[] bytes) {
    List<StreamEvent> events = new ArrayList<>();
    int start = 0;
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == '\n') {
        if (lineEmpty) {
          pending.write(bytes, start, i + 1 - start);
          start = i + 1;
          byte[] event = pending.toByteArray();
          pending.reset();
          events.add(new StreamEvent(event, identity(event)));
        }
        lineEmpty = true;
      } else if (bytes[i] != '\r') {
        lineEmpty = false;
      }
    }
    pending.write(bytes, start, bytes.length - start);
    return events;
  }

  /**
   * Tells whether bytes of an unfinished event are held.
   *
   * @return true if the stream must not end here
   */
  public boolean isInsideEvent() {
    return pending.size() > 0;
  }

  private static String identity(byte[] event) {
    int lineStart = 0;
    for (int i = 0; i < event.length; i++) {
      if (event[i] == '\n') {
        int length = IDENTITY_FIELD.length;
        if (i - lineStart > length
            && Arrays.equals(event, lineStart, lineStart + length, IDENTITY_FIELD, 0, length)) {
          int from = lineStart + length;
          return new String(event, from, i - from, StandardCharsets.UTF_8).strip();
        }
        lineStart = i + 1;
      }
    }
    return null;
  }
}
