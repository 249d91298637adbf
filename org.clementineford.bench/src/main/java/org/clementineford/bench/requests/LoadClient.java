package org.clementineford.bench.requests;

import io.netty.channel.EventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.agrona.concurrent.NanoClock;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.transport.ExchangeFailure;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponseListener;

/** HTTP client that sends requests and reports the outcome of each. */
final class LoadClient implements AutoCloseable {
  private final NanoClock clock = SystemNanoClock.INSTANCE;
  private final HttpClient client;

  LoadClient(EventLoopGroup loops) {
    this.client = new HttpClient(loops, LinkShaping.NONE);
  }

  /** The way a call ended. */
  enum End {
    /** A complete response with a status below 400. */
    ANSWERED,
    /** A complete response with a status of 400 or above. */
    REFUSED,
    /** The call failed before the end of the response. */
    BROKEN,
    /** The server certainly did not receive the request, for example for lack of a connection. */
    NOT_SENT
  }

  /**
   * Result of a call.
   *
   * @param end the way it ended
   * @param status HTTP status, 0 if no response head arrived
   * @param headers headers of the response
   * @param body bytes of the body that arrived
   * @param firstByteNanos monotonic time of the first byte of the body, 0 if there was none
   * @param endNanos monotonic time of the end
   */
  record Outcome(
      End end,
      int status,
      Map<String, String> headers,
      byte[] body,
      long firstByteNanos,
      long endNanos) {
    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }

    String run() {
      return headers.getOrDefault("Clementineford-Run", "none");
    }
  }

  /** Receives the outcome, on an event loop thread of the client. */
  interface Handler {
    void ended(Outcome outcome);
  }

  void send(HostPort address, HttpRequest request, long timeoutMs, Handler handler) {
    client.send(address, request, timeoutMs, new Listener(handler));
  }

  @Override
  public void close() {
    client.close();
  }

  private final class Listener implements HttpResponseListener {
    private final Handler handler;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private Map<String, String> headers = Map.of();
    private long firstByteNanos;

    Listener(Handler handler) {
      this.handler = handler;
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
      this.status = status;
      this.headers = headers;
    }

    @Override
    public void onBody(byte[] bytes) {
      if (firstByteNanos == 0) {
        firstByteNanos = clock.nanoTime();
      }
      body.writeBytes(bytes);
    }

    @Override
    public void onEnd() {
      end(status < 400 ? End.ANSWERED : End.REFUSED);
    }

    @Override
    public void onFailure(ExchangeFailure failure, String cause) {
      end(failure.isCertainlyNotReceived() ? End.NOT_SENT : End.BROKEN);
    }

    private void end(End end) {
      handler.ended(
          new Outcome(end, status, headers, body.toByteArray(), firstByteNanos, clock.nanoTime()));
    }
  }
}
