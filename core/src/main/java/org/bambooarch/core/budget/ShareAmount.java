package org.bambooarch.core.budget;

/**
 * A part of a resource, in units of which {@link #WHOLE} make up the whole resource.
 *
 * <p>Capacity is either full (a token that an admission may take) or empty (room that the rate
 * refills). Sums wrap around like counters; differences stay exact.
 *
 * @param rateUnits part of the rate
 * @param fullUnits part of the burst that holds tokens
 * @param emptyUnits part of the burst that is used up
 */
public record ShareAmount(long rateUnits, long fullUnits, long emptyUnits) {

  /** Units that make up the whole rate or the whole burst of a resource. */
  public static final long WHOLE = 1_000_000_000_000L;

  /** Nothing. */
  public static final ShareAmount NONE = new ShareAmount(0, 0, 0);

  /** Returns the sum of both. */
  public ShareAmount plus(ShareAmount other) {
    return new ShareAmount(
        rateUnits + other.rateUnits, fullUnits + other.fullUnits, emptyUnits + other.emptyUnits);
  }

  /** Returns this without the other. */
  public ShareAmount minus(ShareAmount other) {
    return new ShareAmount(
        rateUnits - other.rateUnits, fullUnits - other.fullUnits, emptyUnits - other.emptyUnits);
  }

  /** Returns this with every negative part replaced by zero. */
  public ShareAmount positivePart() {
    return new ShareAmount(Math.max(0, rateUnits), Math.max(0, fullUnits), Math.max(0, emptyUnits));
  }

  /** Returns the full and empty units together. */
  public long capacityUnits() {
    return fullUnits + emptyUnits;
  }

  /** Returns whether all three parts are zero. */
  public boolean isNone() {
    return rateUnits == 0 && fullUnits == 0 && emptyUnits == 0;
  }
}
