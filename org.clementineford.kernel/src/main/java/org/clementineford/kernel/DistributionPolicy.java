package org.clementineford.kernel;

/** What a distribution of weights saves first. */
public enum DistributionPolicy {
  /** One reader of the origin for each chunk in each data centre, up to the origin's capacity. */
  SHORTEST_TIME {
    @Override
    public int originCopies(int dataCentres) {
      return Math.min(dataCentres, MAX_ORIGIN_COPIES);
    }
  },
  /** One reader of the origin for each chunk in the whole system. */
  FEWEST_ORIGIN_BYTES {
    @Override
    public int originCopies(int dataCentres) {
      return 1;
    }
  };

  /** Copies that the origin's link can carry in the time of a burst. */
  public static final int MAX_ORIGIN_COPIES = 4;

  /**
   * Returns how many copies are read from the origin if nothing fails.
   *
   * @param dataCentres number of data centres that want the version
   * @return from 1 to {@link #MAX_ORIGIN_COPIES}
   */
  public abstract int originCopies(int dataCentres);
}
