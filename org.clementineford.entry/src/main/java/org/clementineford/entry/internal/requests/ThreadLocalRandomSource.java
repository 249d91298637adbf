package org.clementineford.entry.internal.requests;

import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;

/** Random numbers of the calling thread's own generator. */
final class ThreadLocalRandomSource implements RandomGenerator {
  @Override
  public long nextLong() {
    return ThreadLocalRandom.current().nextLong();
  }
}
