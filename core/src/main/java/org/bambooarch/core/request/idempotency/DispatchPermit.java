package org.bambooarch.core.request.idempotency;

import org.bambooarch.core.time.Clock;

/**
 * The right of one send to dispatch its request once, until a stored deadline.
 *
 * <p>The deadline is checked on the monotonic and on the wall clock, because the monotonic clock of
 * some machines stands still while the machine is suspended.
 *
 * <pre>{@code
 * if (!permit.tryUse(clock)) {
 *   return attempt.release();
 * }
 * connection.send(request);
 * }</pre>
 */
public final class DispatchPermit {

  private final long deadlineNanos;
  private final long deadlineWallMillis;
  private boolean used;

  /** Creates a permit that ends when either deadline has passed. */
  public DispatchPermit(long deadlineNanos, long deadlineWallMillis) {
    this.deadlineNanos = deadlineNanos;
    this.deadlineWallMillis = deadlineWallMillis;
  }

  /** Uses the permit up; returns false when it was used before or its deadline has passed. */
  public synchronized boolean tryUse(Clock clock) {
    if (used || isExpired(clock)) {
      return false;
    }
    used = true;
    return true;
  }

  /** Makes the permit usable again after an attempt of which no byte left. */
  public synchronized void restore() {
    used = false;
  }

  /** Returns whether a deadline has passed. */
  public boolean isExpired(Clock clock) {
    return clock.monotonicNanos() - deadlineNanos >= 0 || clock.wallMillis() >= deadlineWallMillis;
  }
}
