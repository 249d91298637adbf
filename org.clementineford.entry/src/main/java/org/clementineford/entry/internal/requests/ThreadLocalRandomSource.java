package org.clementineford.entry.internal.requests;

import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;

/** Random generator that delegates to the generator of the calling thread. */
final class ThreadLocalRandomSource implements RandomGenerator {
  @Override
  public long nextLong() {
    return ThreadLocalRandom.current().nextLong();
  }
}
