package org.bambooarch.core.request.idempotency;

import org.bambooarch.core.time.Clock;

/**
 * Permission to dispatch one recorded request to a target once, before a deadline.
 *
 * <p>The deadline is checked on the monotonic clock and on the wall clock, because the monotonic
 * clock of some machines stops while the machine is suspended. Thread-safe.
 *
 * <pre>{@code
 * if (!permit.tryUse(clock)) {
 *   return stateMachine.release();
 * }
 * connection.send(request);
 * }</pre>
 */
public final class DispatchPermit {

  private final long deadlineNanos;
  private final long deadlineWallMillis;
  private boolean used;

  /**
   * Creates a permit that expires as soon as either deadline has passed.
   *
   * @param deadlineNanos deadline in monotonic nanoseconds
   * @param deadlineWallMillis the same deadline in wall-clock milliseconds
   */
  public DispatchPermit(long deadlineNanos, long deadlineWallMillis) {
    this.deadlineNanos = deadlineNanos;
    this.deadlineWallMillis = deadlineWallMillis;
  }

  /** Uses the permit; returns false, and changes nothing, if it is already used or has expired. */
  public synchronized boolean tryUse(Clock clock) {
    if (used || isExpired(clock)) {
      return false;
    }
    used = true;
    return true;
  }

  /** Makes the permit usable again after an attempt of which no byte was sent. */
  public synchronized void restore() {
    used = false;
  }

  /** Returns whether one of the two deadlines has passed, used or not. */
  public boolean isExpired(Clock clock) {
    return clock.monotonicNanos() - deadlineNanos >= 0 || clock.wallMillis() >= deadlineWallMillis;
  }
}
