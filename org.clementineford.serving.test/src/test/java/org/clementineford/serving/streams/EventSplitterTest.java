package org.clementineford.serving.streams;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
  private static final String TWO = "id: 1\ndata: a\n\nx-weight-versions: 2\nid:2\ndata: b\n\n";

  private final EventSplitter splitter = new EventSplitter();

  private List<StreamEvent> add(String text) {
    return splitter.add(text.getBytes(StandardCharsets.UTF_8));
  }

  // Guards against events that are cut or joined at the boundaries of received buffers.
  @Test
  void findsTheSameEventsForAnyBufferSize() {
    for (int size = 1; size < TWO.length(); size++) {
      EventSplitter split = new EventSplitter();
      StringBuilder bytes = new StringBuilder();
      List<String> ids = new ArrayList<>();
      for (int at = 0; at < TWO.length(); at += size) {
        String part = TWO.substring(at, Math.min(TWO.length(), at + size));
        for (StreamEvent event : split.add(part.getBytes(StandardCharsets.UTF_8))) {
          bytes.append(new String(event.bytes(), StandardCharsets.UTF_8));
          ids.add(event.id());
        }
      }
      assertThat(bytes).hasToString(TWO);
      assertThat(ids).containsExactly("1", "2");
      assertThat(split.isInsideEvent()).isFalse();
    }
  }

  // Guards against a stream that ends inside an event and is taken as complete.
  @Test
  void reportsThatAnEventIsIncomplete() {
    assertThat(add("id: 1\ndata: a\n")).isEmpty();
    assertThat(splitter.isInsideEvent()).isTrue();
  }

  // Guards against missing the end of events whose lines end with carriage return and line feed.
  @Test
  void acceptsCarriageReturns() {
    assertThat(add("id: 1\r\ndata: a\r\n\r\n")).hasSize(1);
  }
}
