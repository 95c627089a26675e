package org.bambooarch.core.admission;

/**
 * Smoothed rate at which requests of a queue are dispatched, from which the wait of a new request
 * is estimated. Not safe for use from many threads.
 */
final class DispatchRate {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double TIME_CONSTANT_NANOS = 1e9;

  /** Rate that is assumed at the start, so that the first requests are not refused. */
  private static final double FIRST_PER_SECOND = 100;

  /** Lower bound, so that estimates stay finite while nothing is dispatched. */
  private static final double MIN_PER_SECOND = 0.1;

  private double perSecond = FIRST_PER_SECOND;
  private long updatedNanos;

  DispatchRate(long nowNanos) {
    updatedNanos = nowNanos;
  }

  /** Counts one dispatched request. */
  void add(long nowNanos) {
    decay(nowNanos);
    perSecond += NANOS_PER_SECOND / TIME_CONSTANT_NANOS;
  }

  /** Returns the time in nanoseconds in which the given number of requests is dispatched. */
  long nanosFor(double requests, long nowNanos) {
    decay(nowNanos);
    return (long) (requests / Math.max(MIN_PER_SECOND, perSecond) * NANOS_PER_SECOND);
  }

  private void decay(long nowNanos) {
    long elapsedNanos = nowNanos - updatedNanos;
    updatedNanos = nowNanos;
    perSecond *= Math.exp(-elapsedNanos / TIME_CONSTANT_NANOS);
  }
}
