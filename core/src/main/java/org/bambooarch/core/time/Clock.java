package org.bambooarch.core.time;

/**
 * Source of monotonic time and wall time.
 *
 * <p>Monotonic time is for deadlines and durations inside one process. Wall time is only for points
 * in time that other processes or people also know, such as the deadline of a bulk read before
 * fieldwork.
 *
 * <pre>{@code
 * long deadlineNanos = clock.monotonicNanos() + 5_000_000L;
 * boolean passed = clock.monotonicNanos() - deadlineNanos >= 0;
 * }</pre>
 */
public interface Clock {

  /**
   * Returns the monotonic time in nanoseconds; only differences between two values have meaning.
   */
  long monotonicNanos();

  /** Returns the wall time in milliseconds since the Unix epoch. */
  long wallMillis();
}
