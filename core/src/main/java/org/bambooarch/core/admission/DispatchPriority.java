package org.bambooarch.core.admission;

import org.bambooarch.core.inventory.PriorityClass;

/**
 * The priorities in which waiting requests are dispatched, highest first.
 *
 * <p>Bulk requests are raised above other bulk requests when little time is left to finish them,
 * and may then use as much of the servers' capacity as interactive reads. They never go before
 * requests that a person waits for.
 *
 * <pre>{@code
 * long now = clock.wallMillis();
 * DispatchPriority priority = DispatchPriority.at(PriorityClass.BULK, finishByWallMillis, now);
 * chooser.choose(route, priority.capacityClass(), excluded, random);
 * }</pre>
 */
public enum DispatchPriority {
  /** Orders, and look-ups that a person at a counter waits for. */
  COUNTER(PriorityClass.COUNTER),
  /** Interactive reads. */
  BROWSE(PriorityClass.BROWSE),
  /** Bulk requests whose wall-clock deadline is near. */
  DUE_BULK(PriorityClass.BROWSE),
  /** Bulk requests with more time left, or without a deadline. */
  BULK(PriorityClass.BULK);

  /** Stands for the wall-clock deadline of bulk requests that have none. */
  public static final long NO_DEADLINE = Long.MAX_VALUE;

  /** Bulk requests are raised when this much wall time or less is left: 30 minutes. */
  public static final long DUE_WINDOW_MILLIS = 30 * 60 * 1_000L;

  private final PriorityClass capacityClass;

  DispatchPriority(PriorityClass capacityClass) {
    this.capacityClass = capacityClass;
  }

  /**
   * Returns the priority of a request at the given time.
   *
   * @param declared priority class of the route
   * @param finishByWallMillis wall-clock deadline of bulk requests in milliseconds since the Unix
   *     epoch, or {@link #NO_DEADLINE}; ignored for other classes
   * @param nowWallMillis wall time in milliseconds since the Unix epoch
   */
  public static DispatchPriority at(
      PriorityClass declared, long finishByWallMillis, long nowWallMillis) {
    return switch (declared) {
      case COUNTER -> COUNTER;
      case BROWSE -> BROWSE;
      case BULK -> isDue(finishByWallMillis, nowWallMillis) ? DUE_BULK : BULK;
    };
  }

  /** Returns the class whose share of the servers' capacity a request of this priority may use. */
  public PriorityClass capacityClass() {
    return capacityClass;
  }

  private static boolean isDue(long finishByWallMillis, long nowWallMillis) {
    return finishByWallMillis != NO_DEADLINE
        && finishByWallMillis - nowWallMillis <= DUE_WINDOW_MILLIS;
  }
}
