package org.bambooarch.core.budget.internal;

/**
 * The part of a resource that each instance should hold.
 *
 * <p>Tokens follow the demand, for the time that peers need to send more; the rest is spread
 * evenly. The rate is spread evenly as long as the burst suffices to move tokens to where the
 * demand is, so that the death of an instance takes little of it. A burst of few quanta is kept by
 * few instances, because the others could not gather one whole token.
 *
 * @param capacity weights of the full and empty units; they add up to one
 * @param rate weights of the rate; they add up to one
 */
record ShareWeights(double[] capacity, double[] rate) {

  /** An instance should hold enough for this multiple of its demand. */
  private static final double DEMAND_HEADROOM_FACTOR = 1.25;

  /** Least part that is spread evenly, as a fraction of the whole or of higher needs. */
  private static final double MIN_SPARE_FRACTION = 0.02;

  /** Time for which an instance should hold tokens ahead of its demand. */
  private static final double DEMAND_HORIZON_SECONDS = 0.6;

  /** Time that tokens take to reach the instance with the demand. */
  private static final double DELIVERY_SECONDS = 0.25;

  /** Quanta of a small burst for each instance that holds a part of it. */
  private static final int QUANTA_PER_HOLDER = 3;

  /** A burst of fewer quanta per instance is small: only few instances hold it. */
  private static final int SMALL_BURST_QUANTA_PER_INSTANCE = 4;

  /** An instance is dominant if its weight exceeds this multiple of an even weight. */
  private static final double DOMINANT_FACTOR = 3;

  /**
   * Returns the weight of each instance. All arrays hold the instances in the same order.
   *
   * @param demands demand at each instance, in quanta per second
   * @param ranks rank of each instance, which all instances compute alike; a small burst goes to
   *     dominant instances first, then to those with the lowest ranks
   * @param leaving whether each instance gives its shares away because it stops
   * @param quantaPerSecond rate of the whole resource, in quanta per second
   * @param burstQuanta burst of the whole resource, in quanta
   */
  static ShareWeights of(
      double[] demands,
      int[] ranks,
      boolean[] leaving,
      double quantaPerSecond,
      double burstQuanta) {
    double[] even = spread(new double[demands.length], leaving, 1);
    if (burstQuanta < SMALL_BURST_QUANTA_PER_INSTANCE * demands.length) {
      double[] needs = scaled(demands, DEMAND_HEADROOM_FACTOR);
      double[] concentrated =
          concentrate(spread(needs, leaving, quantaPerSecond), ranks, burstQuanta);
      return new ShareWeights(concentrated, concentrated);
    }
    double[] aheadQuanta = scaled(demands, DEMAND_HEADROOM_FACTOR * DEMAND_HORIZON_SECONDS);
    double[] capacity = spread(aheadQuanta, leaving, burstQuanta);
    double[] byDemand = spread(scaled(demands, DEMAND_HEADROOM_FACTOR), leaving, quantaPerSecond);
    double demandPart = Math.min(1, DELIVERY_SECONDS * quantaPerSecond / burstQuanta);
    double[] rate = new double[demands.length];
    for (int i = 0; i < rate.length; i++) {
      rate[i] = demandPart * byDemand[i] + (1 - demandPart) * even[i];
    }
    return new ShareWeights(capacity, rate);
  }

  private static double[] scaled(double[] values, double factor) {
    double[] scaled = new double[values.length];
    for (int i = 0; i < values.length; i++) {
      scaled[i] = values[i] * factor;
    }
    return scaled;
  }

  /**
   * Returns weights that cover all needs and spread the rest of the whole evenly; a leaving
   * instance gets none.
   */
  private static double[] spread(double[] needs, boolean[] leaving, double whole) {
    double needed = 0;
    int staying = 0;
    for (int i = 0; i < needs.length; i++) {
      if (!leaving[i]) {
        needed += needs[i];
        staying++;
      }
    }
    double[] weights = new double[needs.length];
    double spare = Math.max(MIN_SPARE_FRACTION * Math.max(whole, needed), whole - needed);
    double sum = needed + spare;
    for (int i = 0; i < needs.length; i++) {
      boolean receives = !leaving[i] && sum > 0;
      weights[i] = receives ? (needs[i] + spare / staying) / sum : 0;
    }
    return weights;
  }

  /**
   * Gives weight to a few instances only. A dominant instance, which has most of the demand, gets
   * more than the others, but so little that its death leaves enough; the others follow by rank.
   */
  private static double[] concentrate(double[] weights, int[] ranks, double burstQuanta) {
    int holders = Math.max(1, (int) burstQuanta / QUANTA_PER_HOLDER);
    double[] concentrated = new double[weights.length];
    double sum = 0;
    for (int n = 0; n < holders; n++) {
      int best = -1;
      for (int i = 0; i < weights.length; i++) {
        boolean eligible = weights[i] > 0 && concentrated[i] == 0;
        if (eligible && (best < 0 || isPreferred(i, best, weights, ranks))) {
          best = i;
        }
      }
      if (best < 0) {
        break;
      }
      boolean dominates = weights[best] > DOMINANT_FACTOR / weights.length;
      concentrated[best] = dominates ? Math.max(1, holders / 2.0) : 1;
      sum += concentrated[best];
    }
    return sum > 0 ? scaled(concentrated, 1 / sum) : concentrated;
  }

  /** Returns whether one instance precedes another: dominant ones first, then by rank. */
  private static boolean isPreferred(int one, int other, double[] weights, int[] ranks) {
    double dominantWeight = DOMINANT_FACTOR / weights.length;
    boolean oneDominates = weights[one] > dominantWeight;
    boolean otherDominates = weights[other] > dominantWeight;
    if (oneDominates != otherDominates) {
      return oneDominates;
    }
    return ranks[one] < ranks[other];
  }
}
