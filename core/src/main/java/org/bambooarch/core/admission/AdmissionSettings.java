package org.bambooarch.core.admission;

/**
 * Bounds of a queue.
 *
 * @param maxCounterWaitNanos longest wait of an order or counter look-up
 * @param maxBrowseWaitNanos longest wait of browsing
 * @param maxBulkWaitNanos longest wait of bulk
 * @param capacity requests that may wait at once, all classes together
 * @param isFair whether customers get equal turns by weight; without it the order is by arrival
 */
public record AdmissionSettings(
    long maxCounterWaitNanos,
    long maxBrowseWaitNanos,
    long maxBulkWaitNanos,
    int capacity,
    boolean isFair) {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Returns the settings in use unless an operator states others. */
  public static AdmissionSettings defaults() {
    return new AdmissionSettings(
        1_000 * NANOS_PER_MILLI, 1_000 * NANOS_PER_MILLI, 10_000 * NANOS_PER_MILLI, 4_096, true);
  }

  /** Returns the same settings with turns in order of arrival. */
  public AdmissionSettings withoutFairness() {
    return new AdmissionSettings(
        maxCounterWaitNanos, maxBrowseWaitNanos, maxBulkWaitNanos, capacity, false);
  }

  /** Returns the longest wait of a rank in nanoseconds. */
  public long maxWaitNanos(DispatchPriority priority) {
    return switch (priority) {
      case COUNTER -> maxCounterWaitNanos;
      case BROWSE -> maxBrowseWaitNanos;
      case DUE_BULK, BULK -> maxBulkWaitNanos;
    };
  }
}
