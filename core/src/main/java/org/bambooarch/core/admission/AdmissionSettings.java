package org.bambooarch.core.admission;

/**
 * Settings of {@link AdmissionQueue}.
 *
 * @param maxCounterWaitNanos longest wait of a request of class COUNTER
 * @param maxBrowseWaitNanos longest wait of a request of class BROWSE
 * @param maxBulkWaitNanos longest wait of a request of class BULK, whether due or not
 * @param capacity number of requests that may wait at the same time, all priorities together
 * @param isFair whether customers take turns in proportion to their weights; if not, requests of
 *     one priority are dispatched in order of arrival
 */
public record AdmissionSettings(
    long maxCounterWaitNanos,
    long maxBrowseWaitNanos,
    long maxBulkWaitNanos,
    int capacity,
    boolean isFair) {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Returns the default settings. */
  public static AdmissionSettings defaults() {
    return new AdmissionSettings(
        1_000 * NANOS_PER_MILLI, 1_000 * NANOS_PER_MILLI, 10_000 * NANOS_PER_MILLI, 4_096, true);
  }

  /** Returns a copy of these settings with dispatch in order of arrival. */
  public AdmissionSettings withoutFairness() {
    return new AdmissionSettings(
        maxCounterWaitNanos, maxBrowseWaitNanos, maxBulkWaitNanos, capacity, false);
  }

  /** Returns the longest wait of a request of the given priority, in nanoseconds. */
  public long maxWaitNanos(DispatchPriority priority) {
    return switch (priority) {
      case COUNTER -> maxCounterWaitNanos;
      case BROWSE -> maxBrowseWaitNanos;
      case DUE_BULK, BULK -> maxBulkWaitNanos;
    };
  }
}
