package org.bambooarch.core.budget.internal;

/**
 * Decides how much of this instance's surplus goes to which peer.
 *
 * <p>All instances compute the same amounts that each should hold, and each one with a surplus
 * splits it in proportion to the deficits. The surpluses of all add up to the deficits of all, so
 * that a deficit is met only once even though every instance decides alone.
 */
final class ShareBalancer {

  private ShareBalancer() {}

  /**
   * Returns the units that the first instance moves to each of the others.
   *
   * @param held units that each instance holds, this instance first
   * @param weights part of the total that each instance should hold
   * @param toleranceUnits largest surplus that is not moved
   * @param dampingFraction fraction of the surplus that one call moves
   * @param stepUnits smallest useful transfer; all transfers are multiples of it
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
    double totalDeficit = 0;
    for (int i = 1; i < held.length; i++) {
      deficits[i] = Math.max(0, total * weights[i] - held[i]);
      totalDeficit += deficits[i];
    }
    double movedUnits = Math.max(Math.min(surplus, totalDeficit) * dampingFraction, stepUnits);
    return stepUnits > 1
        ? inWholeSteps(movedUnits, deficits, stepUnits)
        : inProportion(movedUnits, deficits, totalDeficit);
  }

  /** Splits the units in proportion to the deficits, rounded down. */
  private static long[] inProportion(double movedUnits, double[] deficits, double totalDeficit) {
    long[] transfers = new long[deficits.length];
    for (int i = 1; i < deficits.length && totalDeficit > 0; i++) {
      transfers[i] = (long) (movedUnits * deficits[i] / totalDeficit);
    }
    return transfers;
  }

  /**
   * Splits the units into transfers of whole steps, each to the largest deficit that remains; ends
   * when that one is below half a step.
   */
  private static long[] inWholeSteps(double movedUnits, double[] deficits, long stepUnits) {
    long[] transfers = new long[deficits.length];
    double remainingUnits = movedUnits;
    while (remainingUnits >= stepUnits) {
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
      long part = (long) (Math.min(remainingUnits, deficit) / deficits.length);
      long transfer = Math.max(stepUnits, part - part % stepUnits);
      transfers[largest] += transfer;
      remainingUnits -= transfer;
    }
    return transfers;
  }
}
