package org.bambooarch.core.budget.internal;

/**
 * Decides how much of a surplus goes to which peer.
 *
 * <p>All instances aim at the same targets, and each gives its surplus in proportion to the
 * deficits. The surpluses of all add up to the deficits of all, so that a deficit is met once even
 * though every holder decides alone.
 */
final class ShareBalancer {

  private ShareBalancer() {}

  /**
   * Returns what the first instance gives to each of the others.
   *
   * @param held units that each instance holds, its own first
   * @param weights each instance's weight
   * @param toleranceUnits surplus that is left alone
   * @param damping part of the surplus that moves at once
   * @param grainUnits smallest useful amount; gifts are multiples of it
   */
  static long[] gifts(
      long[] held, double[] weights, double toleranceUnits, double damping, long grainUnits) {
    long[] gifts = new long[held.length];
    double total = 0;
    for (long units : held) {
      total += Math.max(0, units);
    }
    double surplus = Math.max(0, held[0]) - total * weights[0];
    if (surplus <= toleranceUnits || surplus < grainUnits) {
      return gifts;
    }
    double[] deficits = new double[held.length];
    double sum = 0;
    for (int i = 1; i < held.length; i++) {
      deficits[i] = Math.max(0, total * weights[i] - held[i]);
      sum += deficits[i];
    }
    double moved = Math.max(Math.min(surplus, sum) * damping, grainUnits);
    return grainUnits > 1 ? grains(moved, deficits, grainUnits) : parts(moved, deficits, sum);
  }

  private static long[] parts(double moved, double[] deficits, double sum) {
    long[] gifts = new long[deficits.length];
    for (int i = 1; i < deficits.length && sum > 0; i++) {
      gifts[i] = (long) (moved * deficits[i] / sum);
    }
    return gifts;
  }

  /** Gives whole grains, each to the largest deficit that is left. */
  private static long[] grains(double moved, double[] deficits, long grainUnits) {
    long[] gifts = new long[deficits.length];
    double left = moved;
    while (left >= grainUnits) {
      int neediest = 0;
      for (int i = 1; i < deficits.length; i++) {
        if (deficits[i] - gifts[i] > deficits[neediest] - gifts[neediest]) {
          neediest = i;
        }
      }
      double deficit = deficits[neediest] - gifts[neediest];
      if (neediest == 0 || deficit < grainUnits / 2.0) {
        return gifts;
      }
      long part = (long) (Math.min(left, deficit) / deficits.length);
      long gift = Math.max(grainUnits, part - part % grainUnits);
      gifts[neediest] += gift;
      left -= gift;
    }
    return gifts;
  }
}
