package org.bambooarch.core.admission;

import org.bambooarch.core.inventory.PriorityClass;

/**
 * The order in which waiting requests are dispatched, highest first.
 *
 * <p>Bulk rises above other bulk when little time is left to finish it, and may then fill as much
 * room as browsing does. It never goes before a person who waits.
 *
 * <pre>{@code
 * DispatchPriority priority = DispatchPriority.at(PriorityClass.BULK, finishByWallMillis, clock.wallMillis());
 * chooser.choose(route, priority.capacityClass(), excluded, random);
 * }</pre>
 */
public enum DispatchPriority {
  /** Orders and counter look-ups. */
  COUNTER(PriorityClass.COUNTER),
  /** Interactive reading. */
  BROWSE(PriorityClass.BROWSE),
  /** Bulk whose wall-clock deadline is near. */
  DUE_BULK(PriorityClass.BROWSE),
  /** Bulk with time left. */
  BULK(PriorityClass.BULK);

  /** Stands for bulk work that no moment limits. */
  public static final long NO_DEADLINE = Long.MAX_VALUE;

  /** Bulk rises in rank when this much wall time is left. */
  public static final long DUE_WINDOW_MILLIS = 30 * 60 * 1_000L;

  private final PriorityClass capacityClass;

  DispatchPriority(PriorityClass capacityClass) {
    this.capacityClass = capacityClass;
  }

  /**
   * Returns the rank to use now.
   *
   * @param declared class of the route
   * @param finishByWallMillis wall-clock deadline of bulk work, or {@link #NO_DEADLINE}
   * @param nowWallMillis present wall time
   */
  public static DispatchPriority at(
      PriorityClass declared, long finishByWallMillis, long nowWallMillis) {
    return switch (declared) {
      case COUNTER -> COUNTER;
      case BROWSE -> BROWSE;
      case BULK -> isDue(finishByWallMillis, nowWallMillis) ? DUE_BULK : BULK;
    };
  }

  /** Returns the class whose part of the servers' room a request of this rank may fill. */
  public PriorityClass capacityClass() {
    return capacityClass;
  }

  private static boolean isDue(long finishByWallMillis, long nowWallMillis) {
    return finishByWallMillis != NO_DEADLINE
        && finishByWallMillis - nowWallMillis <= DUE_WINDOW_MILLIS;
  }
}
