package org.clementineford.serving.streams;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits the bytes of an event stream into complete events, so that another endpoint can continue a
 * stream that breaks off inside an event.
 *
 * <p>Source: WHATWG HTML Living Standard, section 9.2, "Server-sent events".
 */
public final class EventSplitter {
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private boolean isLineEmpty = true;

  /**
   * Adds bytes of the stream.
   *
   * @param bytes the next bytes of the stream
   * @return the events that these bytes complete, each with the blank line that ends it
   */
  public List<StreamEvent> add(byte[] bytes) {
    List<StreamEvent> events = new ArrayList<>();
    int start = 0;
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == '\n') {
        if (isLineEmpty) {
          pending.write(bytes, start, i + 1 - start);
          start = i + 1;
          byte[] event = pending.toByteArray();
          pending.reset();
          events.add(new StreamEvent(event, eventId(event)));
        }
        isLineEmpty = true;
      } else if (bytes[i] != '\r') {
        isLineEmpty = false;
      }
    }
    pending.write(bytes, start, bytes.length - start);
    return events;
  }

  /**
   * Returns whether the bytes so far end inside an event.
   *
   * @return true if an event is incomplete, so that a stream that ends here is broken
   */
  public boolean isInsideEvent() {
    return pending.size() > 0;
  }

  private static String eventId(byte[] event) {
    int lineStart = 0;
    for (int i = 0; i < event.length; i++) {
      if (event[i] == '\n') {
        int length = ID_FIELD.length;
        if (i - lineStart > length
            && Arrays.equals(event, lineStart, lineStart + length, ID_FIELD, 0, length)) {
          int from = lineStart + length;
          return new String(event, from, i - from, StandardCharsets.UTF_8).strip();
        }
        lineStart = i + 1;
      }
    }
    return null;
  }
}
