package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.clementineford.serving.model.Endpoint;
import org.clementineford.testing.VirtualTime;

/** A gateway with a request in a chosen state, whose configuration or endpoints then change. */
final class ChangingGateway implements AutoCloseable {
  private static final int SLOTS = 4;
  private static final int LARGE_ANSWER_BYTES = 3 << 20;
  private static final int SMALL_BUFFER_BYTES = 4_096;
  private static final int TIMEOUT_MS = 5_000;
  private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
  private static final String SECOND_EVENT = "id: 2\ndata: b\n\n";

  private final RequestState state;
  private final CountDownLatch reached = new CountDownLatch(1);
  private final CountDownLatch released = new CountDownLatch(1);
  private final ScriptedHttpEndpoint engine = new ScriptedHttpEndpoint(this::answer);
  private final ScriptedHttpEndpoint spare = new ScriptedHttpEndpoint(this::answer);
  private final GatewayFixture fixture = new GatewayFixture(new VirtualTime(0), engine);
  private final List<RawCaller> others = new ArrayList<>();
  private final List<Endpoint> listed;
  private final Socket caller = new Socket();
  private final InputStream answers;

  ChangingGateway(RequestState state) throws Exception {
    this.state = state;
    listed =
        List.of(
            new Endpoint("e0", 1, "plain", engine.address(), "x", false, 0),
            new Endpoint("me0", 1, "pool", engine.address(), "x", false, 1),
            new Endpoint("s", 1, ConfigurationChange.SPARE, spare.address(), "x", false, 0));
    fixture.list(listed);
    caller.setReceiveBufferSize(SMALL_BUFFER_BYTES);
    caller.setSoTimeout(TIMEOUT_MS);
    caller.connect(new InetSocketAddress(fixture.address().host(), fixture.address().port()));
    answers = new BufferedInputStream(caller.getInputStream());
    state.reach(this);
  }

  private void answer(
      ScriptedHttpEndpoint.Request request, ScriptedHttpEndpoint.Connection connection)
      throws IOException {
    boolean examined = request.id().equals("r");
    if (request.line().contains("/keyed/")) {
      reached.countDown();
      connection.respond(200, request.id(), "proof: p\r\n", "x".repeat(LARGE_ANSWER_BYTES));
      return;
    }
    holdIf(request.id().startsWith("other") || (examined && state == RequestState.SENT));
    connection.startEventStream(request.id());
    if (examined && state == RequestState.HEAD_RECEIVED) {
      new LoopbackDelivery(connection.socket()).awaitRead();
      holdIf(true);
    }
    connection.writeChunk(FIRST_EVENT);
    holdIf(examined && state == RequestState.STREAMING);
    connection.writeChunk(SECOND_EVENT);
    connection.write("0\r\n\r\n");
  }

  private void holdIf(boolean held) {
    if (held) {
      reached.countDown();
      Latches.await(released);
    }
  }

  /** Returns the examined request as its caller sends it. */
  String request() {
    return request(state == RequestState.ANSWER_BEING_WRITTEN ? "/keyed/a" : "/keyed-stream/a");
  }

  private static String request(String path) {
    return "POST "
        + path
        + " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 4\r\nkey: secret\r\nid: r\r\n\r\nbody";
  }

  void write(String text) throws IOException {
    caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** Waits until the gateway has read what the caller has written. */
  void awaitRead() throws Exception {
    new LoopbackDelivery(caller).awaitRead();
    fixture.run(() -> {});
  }

  void awaitReached() {
    Latches.await(reached);
  }

  /** Waits until the first event reaches the caller, and leaves it to be read. */
  void awaitFirstEvent() throws IOException {
    answers.mark(SMALL_BUFFER_BYTES);
    StringBuilder received = new StringBuilder();
    while (received.indexOf(FIRST_EVENT) < 0) {
      received.append((char) answers.read());
    }
    answers.reset();
  }

  void awaitRequestsInProgress(int number) throws Exception {
    long giveUpAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
    do {
      fixture.run(fixture.gateway()::closeIdle);
    } while (fixture.gateway().requestsInProgress() != number && System.nanoTime() - giveUpAt < 0);
    assertThat(fixture.gateway().requestsInProgress()).isEqualTo(number);
  }

  /** Takes all slots of the engine. */
  void fillSlots() throws Exception {
    for (int i = 0; i < SLOTS; i++) {
      RawCaller other = RawCaller.connect(fixture, TIMEOUT_MS);
      others.add(other);
      other.send("POST", "/stream/a", "other" + i);
      awaitRequestsInProgress(i + 1);
    }
  }

  /** Sends a request that is answered before the examined one. */
  void sendEarlierRequest() throws IOException {
    write(request().replace("id: r", "id: earlier"));
    assertThat(readAnswer().status()).isEqualTo(200);
  }

  void apply(ConfigurationChange change) throws Exception {
    fixture.configure(change::change);
    fixture.list(change.endpoints(listed));
    fixture.run(fixture.gateway()::closeIdle);
  }

  /** Lists the engine alone, as one that has restarted. */
  void restartEngine(long incarnation, long weightVersion) throws Exception {
    fixture.list(
        List.of(
            new Endpoint("me0", incarnation, "pool", engine.address(), "x", false, weightVersion)));
  }

  /** Fails if the examined request is not in progress any more. */
  void assertStillWaiting() throws Exception {
    awaitRequestsInProgress(SLOTS + 1);
    assertThat(arrivals()).isZero();
  }

  /** Lets the endpoints go on. */
  void release() {
    released.countDown();
  }

  RawAnswer readAnswer() throws IOException {
    return RawAnswer.read(answers);
  }

  /** Fails if the answer is not the whole answer of an endpoint. */
  void assertWhole(RawAnswer answer) {
    assertThat(answer.status()).isEqualTo(200);
    if (state == RequestState.ANSWER_BEING_WRITTEN) {
      assertThat(answer.body()).hasSize(LARGE_ANSWER_BYTES);
    } else {
      assertThat(answer.body()).isEqualTo(FIRST_EVENT + SECOND_EVENT);
    }
  }

  /** Fails if the connection brings a second answer, or has ended. */
  void assertNoFurtherAnswer() throws IOException {
    write("GET /none/a HTTP/1.1\r\nHost: 127.0.0.1\r\nid: n\r\n\r\n");
    assertThat(readAnswer().status()).isEqualTo(404);
    assertThat(caller.getInputStream().available()).isZero();
  }

  /** Returns the number of times that the examined request arrived at an endpoint. */
  long arrivals() {
    return List.of(engine, spare).stream()
        .flatMap(endpoint -> endpoint.requests().stream())
        .filter(request -> request.id().equals("r"))
        .count();
  }

  @Override
  public void close() throws IOException {
    release();
    caller.close();
    for (RawCaller other : others) {
      other.socket().close();
    }
    fixture.close();
    engine.close();
    spare.close();
  }
}
