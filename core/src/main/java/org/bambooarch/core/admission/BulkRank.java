package org.bambooarch.core.admission;

import org.bambooarch.core.inventory.PriorityClass;

/**
 * The rank of a request now: bulk rises to browsing when little time is left to finish it.
 *
 * <pre>{@code
 * PriorityClass rank = BulkRank.now(PriorityClass.BULK, finishByWallMillis, clock.wallMillis());
 * }</pre>
 */
public final class BulkRank {

  /** Stands for bulk work that no moment limits. */
  public static final long NO_DEADLINE = Long.MAX_VALUE;

  /** Bulk rises in rank when this much wall time is left. */
  public static final long RISE_MILLIS = 30 * 60 * 1_000L;

  private BulkRank() {}

  /**
   * Returns the rank to use now.
   *
   * @param declared class of the route
   * @param finishByWallMillis wall-clock deadline of bulk work, or {@link #NO_DEADLINE}
   * @param nowWallMillis present wall time
   */
  public static PriorityClass now(
      PriorityClass declared, long finishByWallMillis, long nowWallMillis) {
    if (declared != PriorityClass.BULK || finishByWallMillis == NO_DEADLINE) {
      return declared;
    }
    boolean isDue = finishByWallMillis - nowWallMillis <= RISE_MILLIS;
    return isDue ? PriorityClass.BROWSE : PriorityClass.BULK;
  }
}
