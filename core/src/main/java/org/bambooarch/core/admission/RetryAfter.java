package org.bambooarch.core.admission;

/** The delay after which a refused caller may try again. */
final class RetryAfter {

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long MIN_MILLIS = 100;
  private static final long MAX_MILLIS = 30_000;

  private RetryAfter() {}

  /** Returns the expected wait in milliseconds, but at least 100 ms and at most 30 s. */
  static long fromExpectedWait(long expectedWaitNanos) {
    return Math.max(MIN_MILLIS, Math.min(MAX_MILLIS, expectedWaitNanos / NANOS_PER_MILLI));
  }
}
