package org.clementineford.bench.requests;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/** Idempotent chat requests as background load; half of them are streamed. */
final class ChatLoad {
  private static final double RATE = 40;
  private static final int TOKENS = 8;
  private static final long TIMEOUT_MS = 40_000;

  private final Site site;
  private final LoadClient caller;
  private final CountDownLatch ended = new CountDownLatch(1);
  private final LongAdder sent = new LongAdder();
  private final LongAdder answered = new LongAdder();
  private final LongAdder refused = new LongAdder();
  private final LongAdder broken = new LongAdder();
  private final LongAdder notSent = new LongAdder();
  private final LongAdder wrong = new LongAdder();

  ChatLoad(Site site, LoadClient caller) {
    this.site = site;
    this.caller = caller;
  }

  /** Starts sending, for the given time. */
  void start(double seconds) {
    Thread thread = new Thread(() -> run(seconds), "chats");
    thread.setDaemon(true);
    thread.start();
  }

  private void run(double seconds) {
    CountDownLatch open = new CountDownLatch((int) (RATE * seconds));
    int[] next = new int[1];
    new OpenLoop(RATE).run(seconds, due -> send(next[0]++, open));
    try {
      open.await(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    ended.countDown();
  }

  private void send(int number, CountDownLatch open) {
    String content = "Is batch " + number + " recalled?";
    boolean stream = number % 2 == 0;
    sent.increment();
    caller.send(
        site.entryAddress(number % site.entryCount()),
        Chats.request("buyers", content, TOKENS, stream),
        TIMEOUT_MS,
        outcome -> {
          count(outcome, content, stream);
          open.countDown();
        });
  }

  private void count(LoadClient.Outcome outcome, String content, boolean stream) {
    switch (outcome.end()) {
      case ANSWERED -> {
        answered.increment();
        if (!Chats.isOwnAnswer(outcome.text(), content, TOKENS, stream)) {
          wrong.increment();
        }
      }
      case REFUSED -> refused.increment();
      case NOT_SENT -> notSent.increment();
      default -> broken.increment();
    }
  }

  /** Waits for the last answer and returns the counts. */
  Map<String, Object> figures() throws InterruptedException {
    ended.await();
    Map<String, Object> values = new LinkedHashMap<>();
    values.put("requests", sent.sum());
    values.put("answered", answered.sum());
    values.put("refused", refused.sum());
    values.put("broken", broken.sum());
    values.put("entryDown", notSent.sum());
    values.put("wrongAnswers", wrong.sum());
    return values;
  }

  /** Returns the number of answers that ended normally but had the wrong content. */
  long wrongAnswers() {
    return wrong.sum();
  }
}
