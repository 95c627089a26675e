package org.bambooarch.gateway.control;

import java.util.OptionalLong;

/**
 * Relates the store's steady clock to that of this instance, so that what other instances report
 * with a time of the store can be dated.
 *
 * <p>A time of the store lies between the call and its response, and before the moment at which
 * anyone tells of it. Times are dated as early as these bounds allow. The upper bounds also correct
 * the relation after this instance was suspended, while its own clock stood still.
 *
 * <p>Used on the event loop only.
 */
final class StoreClock {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private boolean known;
  private long offsetNanos;

  /**
   * Records a response of the store.
   *
   * @param storeMillis the store's time in the response, in milliseconds; 0 if it has none
   * @param askedNanos monotonic time at or before which the store looked at its clock
   * @param receivedNanos monotonic time of the response
   */
  void onResponse(long storeMillis, long askedNanos, long receivedNanos) {
    if (storeMillis <= 0) {
      return;
    }
    long storeNanos = storeMillis * NANOS_PER_MILLI;
    long earliestNanos = askedNanos - storeNanos;
    long latestNanos = receivedNanos - storeNanos;
    offsetNanos =
        known ? Math.min(Math.max(offsetNanos, earliestNanos), latestNanos) : earliestNanos;
    known = true;
  }

  /** Records that another instance knows of a time of the store. */
  void onReport(long storeMillis, long receivedNanos) {
    if (known && storeMillis > 0) {
      offsetNanos = Math.min(offsetNanos, receivedNanos - storeMillis * NANOS_PER_MILLI);
    }
  }

  /** Returns the monotonic time of a time of the store; empty before the first response. */
  OptionalLong toMonotonicNanos(long storeMillis) {
    return known
        ? OptionalLong.of(offsetNanos + storeMillis * NANOS_PER_MILLI)
        : OptionalLong.empty();
  }

  /**
   * Returns the time of the store's clock at a monotonic time, in milliseconds; empty before the
   * first response.
   */
  OptionalLong toStoreMillis(long nanos) {
    return known ? OptionalLong.of((nanos - offsetNanos) / NANOS_PER_MILLI) : OptionalLong.empty();
  }
}
