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
   * @param dampingFraction part of the surplus that moves at once
   * @param stepUnits smallest useful amount; gifts are multiples of it
   */
  static long[] transfers(
      long[] held,
      double[] weights,
      double toleranceUnits,
      double dampingFraction,
      long stepUnits) {
    long[] transfers = new long[held.length];
    double total = 0;
    for (long units : held) {
      total += Math.max(0, units);
    }
    double surplus = Math.max(0, held[0]) - total * weights[0];
    if (surplus <= toleranceUnits || surplus < stepUnits) {
      return transfers;
    }
    double[] deficits = new double[held.length];
    double sum = 0;
    for (int i = 1; i < held.length; i++) {
      deficits[i] = Math.max(0, total * weights[i] - held[i]);
      sum += deficits[i];
    }
    double movedUnits = Math.max(Math.min(surplus, sum) * dampingFraction, stepUnits);
    return stepUnits > 1
        ? inWholeSteps(movedUnits, deficits, stepUnits)
        : inProportion(movedUnits, deficits, sum);
  }

  private static long[] inProportion(double movedUnits, double[] deficits, double sum) {
    long[] transfers = new long[deficits.length];
    for (int i = 1; i < deficits.length && sum > 0; i++) {
      transfers[i] = (long) (movedUnits * deficits[i] / sum);
    }
    return transfers;
  }

  /** Gives whole grains, each to the largest deficit that is left. */
  private static long[] inWholeSteps(double movedUnits, double[] deficits, long stepUnits) {
    long[] transfers = new long[deficits.length];
    double remaining = movedUnits;
    while (remaining >= stepUnits) {
      int largest = 0;
      for (int i = 1; i < deficits.length; i++) {
        if (deficits[i] - transfers[i] > deficits[largest] - transfers[largest]) {
          largest = i;
        }
      }
      double deficit = deficits[largest] - transfers[largest];
      if (largest == 0 || deficit < stepUnits / 2.0) {
        return transfers;
      }
      long part = (long) (Math.min(remaining, deficit) / deficits.length);
      long transfer = Math.max(stepUnits, part - part % stepUnits);
      transfers[largest] += transfer;
      remaining -= transfer;
    }
    return transfers;
  }
}
