package org.clementineford.requests.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class FairQueueTest {
  private static final FairQueueLimits LIMITS = new FairQueueLimits(4, 10, 0);

  private final FairQueue<String> queue = new FairQueue<>(LIMITS, 1, account -> 1);

  private static QueuedRequest<String> request(String account, boolean urgent, String work) {
    return new QueuedRequest<>(account, urgent, 100, 1000, work);
  }

  private List<String> drain(int requests) {
    List<String> order = new ArrayList<>();
    for (int i = 0; i < requests; i++) {
      QueuedRequest<String> next = queue.poll();
      order.add(next.work());
      queue.finish(next, 100);
    }
    return order;
  }

  // Guards against a queue that grows without bound, or that one account fills at the expense of
  // others.
  @Test
  void queueOfEachAccountIsBounded() {
    for (int i = 0; i < 4; i++) {
      assertThat(queue.offer(request("a", false, "a" + i))).isTrue();
    }
    assertThat(queue.offer(request("a", false, "a4"))).isFalse();
    assertThat(queue.offer(request("b", false, "b0"))).isTrue();
  }

  // Guards against more concurrent requests than the back end has slots.
  @Test
  void slotsAreNotExceeded() {
    queue.offer(request("a", false, "a0"));
    queue.offer(request("a", false, "a1"));
    QueuedRequest<String> first = queue.poll();
    assertThat(queue.poll()).isNull();
    queue.finish(first, 100);
    assertThat(queue.poll().work()).isEqualTo("a1");
  }

  // Guards against urgent requests that wait behind normal ones, and against starvation of normal
  // requests.
  @Test
  void urgentRequestsRunFirstAndBorrowAtMostHalfOfTheCapacity() {
    for (int i = 0; i < 4; i++) {
      queue.offer(request("normal", false, "n" + i));
      queue.offer(request("urgent", true, "u" + i));
    }
    queue.offer(request("urgent", false, "ignored: the queue is full"));
    List<String> order = drain(8);
    assertThat(order.subList(0, 3)).containsSequence("u0").contains("u1");
    assertThat(order.subList(0, 4).stream().filter(work -> work.startsWith("n")).count())
        .isGreaterThanOrEqualTo(1);
    assertThat(order).containsSubsequence("n0", "n1", "n2", "n3");
  }

  // Guards against an allowance for borrowed turns that accumulates and is then used all at once.
  @Test
  void unusedBorrowAllowanceDoesNotAccumulate() {
    for (int i = 0; i < 8; i++) {
      queue.offer(request("normal", false, "before"));
      drain(1);
    }
    for (int i = 0; i < 4; i++) {
      queue.offer(request("normal", false, "n"));
      queue.offer(request("urgent", true, "u"));
    }
    assertThat(String.join("", drain(4))).isIn("nunu", "unun", "unnu", "nuun");
  }

  // Guards against an account that accumulates enough burst credit to starve the others.
  @Test
  void burstCreditIsBounded() {
    FairQueue<String> queueWithCredit =
        new FairQueue<>(new FairQueueLimits(100, 10, 2), 1, account -> 1);
    for (int i = 0; i < 50; i++) {
      queueWithCredit.offer(request("busy", false, "b"));
      queueWithCredit.finish(queueWithCredit.poll(), 100);
      queueWithCredit.offer(request("busy", false, "b"));
    }
    for (int i = 0; i < 10; i++) {
      queueWithCredit.offer(request("quiet", false, "q"));
    }
    StringBuilder order = new StringBuilder();
    for (int i = 0; i < 8; i++) {
      QueuedRequest<String> next = queueWithCredit.poll();
      order.append(next.work());
      queueWithCredit.finish(next, 100);
    }
    assertThat(order.toString()).startsWith("qq").matches("q+(b+q+)+b*");
  }

  // Guards against a request that starts after its deadline.
  @Test
  void expiredRequestsAreRemovedInOrderOfDeadline() {
    queue.offer(new QueuedRequest<>("a", false, 100, 20, "late"));
    queue.offer(new QueuedRequest<>("b", false, 100, 10, "early"));
    queue.offer(new QueuedRequest<>("a", false, 100, 30, "kept"));
    assertThat(queue.earliestDeadline()).hasValue(10);
    assertThat(queue.expire(20)).extracting(QueuedRequest::work).containsExactly("early", "late");
    assertThat(queue.depth().queuedCost()).isEqualTo(100);
    assertThat(queue.poll().work()).isEqualTo("kept");
  }

  // Guards against an account that gains an advantage from cost estimates that are too low.
  @Test
  void actualCostIsCharged() {
    queue.offer(request("liar", false, "l0"));
    QueuedRequest<String> first = queue.poll();
    queue.offer(request("liar", false, "l1"));
    queue.offer(request("honest", false, "h0"));
    queue.offer(request("honest", false, "h1"));
    queue.offer(request("honest", false, "h2"));
    queue.finish(first, 300);
    assertThat(drain(4)).containsExactly("h0", "h1", "h2", "l1");
    assertThat(queue.servedCost("liar")).isEqualTo(400);
  }
}
