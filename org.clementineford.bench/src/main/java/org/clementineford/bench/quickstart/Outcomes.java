package org.clementineford.bench.quickstart;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts the outcomes of requests of one kind. */
public final class Outcomes {
  private final LongAdder sent = new LongAdder();
  private final LongAdder answered = new LongAdder();
  private final LongAdder refused = new LongAdder();
  private final LongAdder wrong = new LongAdder();
  private final Map<String, Integer> failures = new ConcurrentSkipListMap<>();
  private final Map<String, Integer> versions = new ConcurrentSkipListMap<>();
  private final Set<String> answeredKeys = ConcurrentHashMap.newKeySet();
  private final Set<String> refusedKeys = ConcurrentHashMap.newKeySet();

  void sent() {
    sent.increment();
  }

  void answered(String key, String version) {
    answeredKeys.add(key);
    versions.merge(version, 1, Integer::sum);
    answered.increment();
  }

  void refused(String key) {
    refusedKeys.add(key);
    refused.increment();
  }

  void failed(String reason) {
    failures.merge(reason, 1, Integer::sum);
  }

  /** Counts an answer that looks complete but does not belong to its request. */
  void wrong(String reason) {
    wrong.increment();
    failed(reason);
  }

  /**
   * Returns the number of requests sent.
   *
   * @return requests sent so far
   */
  public long sentCount() {
    return sent.sum();
  }

  /**
   * Returns the number of requests with a complete and correct answer.
   *
   * @return requests answered so far
   */
  public long answeredCount() {
    return answered.sum();
  }

  /**
   * Returns the number of requests that were refused and reported as not run.
   *
   * @return requests refused so far
   */
  public long refusedCount() {
    return refused.sum();
  }

  /**
   * Returns the number of requests that ended in any other way.
   *
   * @return requests failed so far
   */
  public long failedCount() {
    return failures.values().stream().mapToLong(Integer::longValue).sum();
  }

  /**
   * Returns the number of answers that looked complete but did not belong to their requests. They
   * are also counted as failed.
   *
   * @return wrong answers so far
   */
  public long wrongCount() {
    return wrong.sum();
  }

  /**
   * Returns the reasons for failures.
   *
   * @return number of requests by reason
   */
  public Map<String, Integer> failures() {
    return new TreeMap<>(failures);
  }

  /**
   * Returns the model versions that the answers came from.
   *
   * @return number of answers by model version
   */
  public Map<String, Integer> versions() {
    return new TreeMap<>(versions);
  }

  /**
   * Returns the keys of answered requests.
   *
   * @return idempotency keys or request numbers
   */
  public Set<String> answeredKeys() {
    return Set.copyOf(answeredKeys);
  }

  /**
   * Returns the keys of refused requests.
   *
   * @return idempotency keys or request numbers
   */
  public Set<String> refusedKeys() {
    return Set.copyOf(refusedKeys);
  }

  boolean allEnded() {
    return sentCount() == answeredCount() + refusedCount() + failedCount();
  }
}
