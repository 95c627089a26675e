package org.bambooarch.gateway.target;

import org.bambooarch.core.time.Clock;

/**
 * The time span in which a response to a request is of use.
 *
 * @param arrivedNanos monotonic time at which the request arrived, read or not, in nanoseconds
 * @param deadlineNanos monotonic time at which the client gives up, in nanoseconds
 */
public record RequestTime(long arrivedNanos, long deadlineNanos) {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Returns the time span of a request whose client waits that long from its arrival. */
  public static RequestTime of(long arrivedNanos, long timeoutMillis) {
    return new RequestTime(arrivedNanos, arrivedNanos + timeoutMillis * NANOS_PER_MILLI);
  }

  /** Returns how long the client waits in total, in nanoseconds. */
  public long timeoutNanos() {
    return deadlineNanos - arrivedNanos;
  }

  /** Returns the time since the request arrived, in nanoseconds. */
  public long elapsedNanos(Clock clock) {
    return clock.monotonicNanos() - arrivedNanos;
  }

  /** Returns the time until the client gives up, in nanoseconds; negative after that. */
  public long remainingNanos(Clock clock) {
    return deadlineNanos - clock.monotonicNanos();
  }
}
