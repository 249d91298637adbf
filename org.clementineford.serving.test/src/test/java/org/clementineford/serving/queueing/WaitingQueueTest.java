package org.clementineford.serving.queueing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WaitingQueueTest {
  private static final long FIRST_EVENT = ms(100);

  private final WaitingQueue<String> queue = new WaitingQueue<>();

  private static long ms(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private void add(String name, long arrivedMs, int priority) {
    queue.add(
        new WaitingRequest<>(
            name,
            ms(arrivedMs),
            ms(arrivedMs + 400),
            ms(arrivedMs + 6_000),
            ms(arrivedMs + 2_400),
            priority,
            "",
            50));
  }

  private String poll(long nowMs) {
    return queue.poll(ms(nowMs), FIRST_EVENT, false).get().item();
  }

  @Nested
  class StartedStream {
    // Guards against a stream that is cut while its caller waits, for the age of its request.
    @Test
    void goesFirstAndWaitsUntilItsCallerLeaves() {
      add("in time", 2_900, 0);
      queue.add(WaitingRequest.startedStream("started", 0, ms(6_000), ms(4_000), 50));
      assertThat(queue.removeUnanswerable(ms(3_200))).isEmpty();
      assertThat(poll(3_000)).isEqualTo("started");
    }

    // Guards against a wait for a caller that has left.
    @Test
    void isRemovedWhenItsCallerLeavesSoon() {
      queue.add(WaitingRequest.startedStream("started", 0, ms(6_000), ms(4_000), 50));
      assertThat(queue.removeUnanswerable(ms(3_600))).hasSize(1);
    }
  }

  @Nested
  class Order {
    // Guards against making every request late once the wait exceeds the latency goal.
    @Test
    void servesRequestsThatCanMeetTheirGoalFirst() {
      add("late", 0, 1);
      add("in time", 900, 1);
      assertThat(poll(1_000)).isEqualTo("in time");
      assertThat(poll(1_000)).isEqualTo("late");
    }

    // Guards against an overload in which each request is sent too late to meet its goal.
    @Test
    void servesTheNewestFirstInOverload() {
      add("older", 0, 1);
      add("newest", 100, 1);
      assertThat(queue.poll(ms(150), FIRST_EVENT, true).get().item()).isEqualTo("newest");
      assertThat(queue.poll(ms(150), FIRST_EVENT, false).get().item()).isEqualTo("older");
    }

    // Guards against starvation of a late request by other late ones.
    @Test
    void servesLateRequestsInOrderOfArrival() {
      add("second", 10, 1);
      add("first", 0, 1);
      assertThat(poll(2_000)).isEqualTo("first");
    }

    // Guards against requests of high priority that wait behind others.
    @Test
    void servesTheHigherPriorityFirst() {
      add("usual", 0, 1);
      add("urgent", 10, 0);
      assertThat(poll(20)).isEqualTo("urgent");
    }
  }

  // Guards against keeping requests that cannot be answered before their deadline.
  @Test
  void removesRequestsShortlyBeforeTheirDeadline() {
    add("old", 0, 1);
    add("new", 5_000, 1);
    assertThat(queue.removeUnanswerable(ms(5_800)))
        .extracting(WaitingRequest::item)
        .containsExactly("old");
    assertThat(queue.size()).isEqualTo(1);
  }

  // Guards against sending a stream so late that its caller leaves before the first event.
  @Test
  void removesRequestsWhoseCallersLeaveSoon() {
    add("leaving", 0, 1);
    add("new", 1_000, 1);
    assertThat(queue.removeUnanswerable(ms(1_900))).isEmpty();
    assertThat(queue.removeUnanswerable(ms(1_901)))
        .extracting(WaitingRequest::item)
        .containsExactly("leaving");
  }

  // Guards against keeping a late request until its deadline while newer ones are served before it.
  // If it is refused earlier, its caller has time to retry.
  @Test
  void removesLateRequestsThatWaitedTooLong() {
    add("late", 0, 1);
    add("new", 2_000, 1);
    assertThat(queue.removeUnanswerable(ms(1_500))).isEmpty();
    assertThat(queue.removeUnanswerable(ms(2_200)))
        .extracting(WaitingRequest::item)
        .containsExactly("late");
  }

  // Guards against sending requests of callers that no longer wait.
  @Test
  void removesTheRequestWhoseCallerNoLongerWaits() {
    add("gone", 0, 1);
    assertThat(queue.remove("gone")).isTrue();
    assertThat(queue.poll(0, FIRST_EVENT, false)).isEmpty();
  }

  @Nested
  class AdmissionDecision {
    private final QueueAdmissionPolicy admission = new QueueAdmissionPolicy(() -> 0.5);

    // Guards against refusing requests that can be served in time.
    @Test
    void allowsRequestToWaitIfItCanBeServedInTime() {
      assertThat(
              admission.retryAfterIfRefused(QueueAdmissionPolicy.predictWaitMs(10_000, 10), 6_000))
          .isEmpty();
    }

    // Guards against letting callers wait although their requests cannot be served in time.
    @Test
    void refusesRequestAtOnceIfItCannotBeServedInTime() {
      assertThat(
              admission.retryAfterIfRefused(QueueAdmissionPolicy.predictWaitMs(100_000, 10), 6_000))
          .hasValue(2.0);
      assertThat(admission.retryAfterIfRefused(QueueAdmissionPolicy.predictWaitMs(1, 0), 6_000))
          .isPresent();
    }

    // Guards against callers that all retry at the same time after a refusal.
    @Test
    void spreadsTheRetriesOfCallers() {
      double early = new QueueAdmissionPolicy(() -> 0).retryAfterSeconds(1_000);
      double late = new QueueAdmissionPolicy(() -> 0.99).retryAfterSeconds(1_000);
      assertThat(late - early).isGreaterThan(0.4);
    }
  }
}
