package org.clementineford.kernel;

/** Which cost a distribution of weights keeps lowest: time or reads from the origin. */
public enum DistributionPolicy {
  /**
   * In each data centre, one VM reads a given chunk from the origin, up to the capacity of the
   * origin, which is {@link #MAX_ORIGIN_COPIES} readers of a chunk.
   */
  SHORTEST_TIME {
    @Override
    public int originCopies(int dataCentres) {
      return Math.min(dataCentres, MAX_ORIGIN_COPIES);
    }
  },
  /** In the complete system, one VM reads a given chunk from the origin. */
  FEWEST_ORIGIN_BYTES {
    @Override
    public int originCopies(int dataCentres) {
      return 1;
    }
  };

  /** Number of copies of the weights that the origin's link can transfer during a burst. */
  public static final int MAX_ORIGIN_COPIES = 4;

  /**
   * Returns the number of copies of the weights that are read from the origin if no read fails.
   *
   * @param dataCentres number of data centres that need the version
   * @return number of copies, from 1 to {@link #MAX_ORIGIN_COPIES}
   */
  public abstract int originCopies(int dataCentres);
}
