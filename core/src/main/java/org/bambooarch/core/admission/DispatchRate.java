package org.bambooarch.core.admission;

/** Smoothed rate at which requests leave a queue, to estimate the wait of a new one. */
final class DispatchRate {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double TIME_CONSTANT_NANOS = 1e9;

  /** Rate assumed at the start, so that the first requests are not refused. */
  private static final double FIRST_PER_SECOND = 100;

  /** Lower bound, so that an estimate stays finite while nothing leaves. */
  private static final double MIN_PER_SECOND = 0.1;

  private double perSecond = FIRST_PER_SECOND;
  private long updatedNanos;

  DispatchRate(long nowNanos) {
    updatedNanos = nowNanos;
  }

  /** Counts one request that left. */
  void add(long nowNanos) {
    decay(nowNanos);
    perSecond += NANOS_PER_SECOND / TIME_CONSTANT_NANOS;
  }

  /** Returns the time in which the given number of requests leaves, in nanoseconds. */
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
