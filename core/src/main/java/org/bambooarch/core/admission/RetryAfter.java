package org.bambooarch.core.admission;

/** The time after which a refused caller may come back. */
final class RetryAfter {

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long MIN_MILLIS = 100;
  private static final long MAX_MILLIS = 30_000;

  private RetryAfter() {}

  /** Returns the expected wait in milliseconds within bounds. */
  static long fromExpectedWait(long expectedWaitNanos) {
    return Math.max(MIN_MILLIS, Math.min(MAX_MILLIS, expectedWaitNanos / NANOS_PER_MILLI));
  }
}
