package org.bambooarch.core.budget.internal;

/**
 * The part of a resource that each instance should hold.
 *
 * <p>Tokens follow the demand, as far ahead as peers need to send more; the rest stays spread. The
 * rate stays spread as long as the burst can carry the tokens to where they are asked for, so that
 * a death takes little of it. A burst of few quanta is kept by few instances, because the others
 * could not gather one whole token.
 *
 * @param capacity weights of the full and empty units; they add up to one
 * @param rate weights of the rate; they add up to one
 */
record ShareWeights(double[] capacity, double[] rate) {

  private static final double HEADROOM = 1.25;
  private static final double FLOOR = 0.02;
  private static final double HORIZON_SECONDS = 0.6;
  private static final double DELIVERY_SECONDS = 0.25;
  private static final int QUANTA_PER_HOLDER = 3;
  private static final int SMALL_QUANTA = 4;
  private static final double DOMINANT = 3;

  /**
   * Returns the weights of the instances.
   *
   * @param demands quanta per second asked of each instance
   * @param ranks a number for each instance on which all instances agree; low ranks hold first
   * @param leaving instances that give everything away
   * @param quantaPerSecond rate of the whole resource
   * @param burstQuanta burst of the whole resource
   */
  static ShareWeights of(
      double[] demands,
      int[] ranks,
      boolean[] leaving,
      double quantaPerSecond,
      double burstQuanta) {
    double[] even = spread(new double[demands.length], leaving, 1);
    if (burstQuanta < SMALL_QUANTA * demands.length) {
      double[] needs = scaled(demands, HEADROOM);
      double[] few = concentrate(spread(needs, leaving, quantaPerSecond), ranks, burstQuanta);
      return new ShareWeights(few, few);
    }
    double[] ahead = scaled(demands, HEADROOM * HORIZON_SECONDS);
    double[] capacity = spread(ahead, leaving, burstQuanta);
    double[] byDemand = spread(scaled(demands, HEADROOM), leaving, quantaPerSecond);
    double moving = Math.min(1, DELIVERY_SECONDS * quantaPerSecond / burstQuanta);
    double[] rate = new double[demands.length];
    for (int i = 0; i < rate.length; i++) {
      rate[i] = moving * byDemand[i] + (1 - moving) * even[i];
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

  /** Covers all needs and spreads the rest of the whole evenly. */
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
    double spare = Math.max(FLOOR * Math.max(whole, needed), whole - needed);
    double sum = needed + spare;
    for (int i = 0; i < needs.length; i++) {
      boolean counts = !leaving[i] && sum > 0;
      weights[i] = counts ? (needs[i] + spare / staying) / sum : 0;
    }
    return weights;
  }

  /**
   * Gives weight to a few instances: one with most of the demand gets more, but so little that its
   * death leaves enough; the others follow by rank.
   */
  private static double[] concentrate(double[] weights, int[] ranks, double burstQuanta) {
    int holders = Math.max(1, (int) burstQuanta / QUANTA_PER_HOLDER);
    double[] few = new double[weights.length];
    double sum = 0;
    for (int n = 0; n < holders; n++) {
      int best = -1;
      for (int i = 0; i < weights.length; i++) {
        boolean open = weights[i] > 0 && few[i] == 0;
        if (open && (best < 0 || goesBefore(i, best, weights, ranks))) {
          best = i;
        }
      }
      if (best < 0) {
        break;
      }
      boolean dominates = weights[best] > DOMINANT / weights.length;
      few[best] = dominates ? Math.max(1, holders / 2.0) : 1;
      sum += few[best];
    }
    return sum > 0 ? scaled(few, 1 / sum) : few;
  }

  private static boolean goesBefore(int one, int other, double[] weights, int[] ranks) {
    double bound = DOMINANT / weights.length;
    boolean oneDominates = weights[one] > bound;
    boolean otherDominates = weights[other] > bound;
    if (oneDominates != otherDominates) {
      return oneDominates;
    }
    return ranks[one] < ranks[other];
  }
}
