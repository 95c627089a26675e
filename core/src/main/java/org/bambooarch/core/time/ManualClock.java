package org.bambooarch.core.time;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A clock that advances only when a method is called, for tests and experiments. Safe for use from
 * many threads.
 *
 * <pre>{@code
 * ManualClock clock = ManualClock.startingAtZero();
 * clock.advanceMillis(250);
 * }</pre>
 */
public final class ManualClock implements Clock {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final AtomicLong nowNanos = new AtomicLong();

  private ManualClock() {}

  /** Returns a clock whose monotonic and wall time both start at zero. */
  public static ManualClock startingAtZero() {
    return new ManualClock();
  }

  /** Advances monotonic and wall time by the given number of milliseconds. */
  public void advanceMillis(long millis) {
    nowNanos.addAndGet(millis * NANOS_PER_MILLI);
  }

  /** Advances monotonic and wall time by the given number of nanoseconds. */
  public void advanceNanos(long nanos) {
    nowNanos.addAndGet(nanos);
  }

  @Override
  public long monotonicNanos() {
    return nowNanos.get();
  }

  @Override
  public long wallMillis() {
    return nowNanos.get() / NANOS_PER_MILLI;
  }
}
