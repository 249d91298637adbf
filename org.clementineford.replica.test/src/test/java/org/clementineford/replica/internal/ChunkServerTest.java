package org.clementineford.replica.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.clementineford.testing.VirtualTime;
import org.clementineford.transport.http.HttpExchange;
import org.clementineford.transport.http.HttpRequest;
import org.junit.jupiter.api.Test;

class ChunkServerTest {
  private static final int CHUNK = 10_000;

  private final VirtualTime time = new VirtualTime(0);
  private final ChunkServer server =
      new ChunkServer(
          (model, version, chunk) -> version == 2 && chunk < 96 ? new byte[CHUNK] : null,
          time,
          time,
          1_000_000);
  private final List<Integer> statuses = new ArrayList<>();

  private void ask(String path) {
    server.answer(new Exchange(new HttpRequest("GET", path, Map.of(), new byte[0])));
  }

  // Guards against stream events that wait behind several chunks on the VM's link.
  @Test
  void sendsSingleChunksBelowTheLinkBandwidth() {
    for (int chunk = 0; chunk < 4; chunk++) {
      ask(ChunkServer.path("m", 2, chunk));
    }
    assertThat(statuses).hasSize(1);
    time.advance(10, TimeUnit.MILLISECONDS);
    assertThat(statuses).hasSize(1);
    time.advance(3, TimeUnit.MILLISECONDS);
    assertThat(statuses).hasSize(2);
    time.advance(1, TimeUnit.SECONDS);
    assertThat(statuses).containsOnly(200).hasSize(4);
  }

  // Guards against peers that wait too long for a VM with many uploads.
  @Test
  void refusesRequestsWhenManyWait() {
    for (int chunk = 0; chunk < 20; chunk++) {
      ask(ChunkServer.path("m", 2, chunk));
    }
    assertThat(statuses).contains(503);
  }

  // Guards against an exception for a request with an unexpected path.
  @Test
  void answersUnknownPathsWith404() {
    ask("/chunks/m/1/0");
    ask("/chunks/m/x/0");
    ask("/chunks/m");
    ask("/other");
    assertThat(statuses).containsOnly(404).hasSize(4);
  }

  private final class Exchange implements HttpExchange {
    private final HttpRequest request;

    Exchange(HttpRequest request) {
      this.request = request;
    }

    @Override
    public HttpRequest request() {
      return request;
    }

    @Override
    public void respond(int status, Map<String, String> headers, byte[] body) {
      statuses.add(status);
    }

    @Override
    public void start(int status, Map<String, String> headers) {}

    @Override
    public void write(byte[] bytes) {}

    @Override
    public void finish() {}

    @Override
    public void abort() {}

    @Override
    public void onClosed(Runnable action) {}

    @Override
    public boolean isWritable() {
      return true;
    }

    @Override
    public void onWritable(Runnable action) {}
  }
}
