package org.bambooarch.core.budget;

/**
 * A part of a resource, in units of which {@link #WHOLE} make up the whole resource.
 *
 * <p>Capacity units are either full (tokens that an admission may take) or empty (space that the
 * rate refills). Sums that exceed the range of a long wrap around; differences between them stay
 * exact.
 *
 * @param rateUnits part of the rate
 * @param fullUnits part of the burst that holds tokens
 * @param emptyUnits part of the burst that is used up
 */
public record ShareAmount(long rateUnits, long fullUnits, long emptyUnits) {

  /** Units that make up the whole rate or the whole burst of a resource. */
  public static final long WHOLE = 1_000_000_000_000L;

  /** No units of any part. */
  public static final ShareAmount NONE = new ShareAmount(0, 0, 0);

  /** Returns the sum, part by part. */
  public ShareAmount plus(ShareAmount other) {
    return new ShareAmount(
        rateUnits + other.rateUnits, fullUnits + other.fullUnits, emptyUnits + other.emptyUnits);
  }

  /** Returns the difference, part by part; parts of it may be negative. */
  public ShareAmount minus(ShareAmount other) {
    return new ShareAmount(
        rateUnits - other.rateUnits, fullUnits - other.fullUnits, emptyUnits - other.emptyUnits);
  }

  /** Returns this amount with every negative part replaced by zero. */
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
