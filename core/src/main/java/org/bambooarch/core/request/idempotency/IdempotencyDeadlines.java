package org.bambooarch.core.request.idempotency;

import org.bambooarch.core.time.Clock;

/**
 * The deadlines of one copy of a recorded non-idempotent request.
 *
 * @param dispatchDeadlineNanos monotonic time in nanoseconds from which the request must not be
 *     dispatched
 * @param dispatchDeadlineWallMillis the same time on the wall clock, in milliseconds
 * @param answerDeadlineWallMillis wall-clock time in milliseconds from which the owner of the
 *     record no longer waits for the response of the target
 * @param expiresAtWallMillis wall-clock time in milliseconds from which the record may be deleted
 */
public record IdempotencyDeadlines(
    long dispatchDeadlineNanos,
    long dispatchDeadlineWallMillis,
    long answerDeadlineWallMillis,
    long expiresAtWallMillis) {

  /** The longest time from the first write of the record to the dispatch, in milliseconds. */
  public static final long MAX_DISPATCH_MILLIS = 2_000;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Returns the deadlines of a request that starts now.
   *
   * @param callerDeadlineNanos monotonic time after which the caller no longer waits; if it has
   *     passed, the dispatch and response deadlines are now
   */
  public static IdempotencyDeadlines until(long callerDeadlineNanos, Clock clock) {
    long nowNanos = clock.monotonicNanos();
    long nowWallMillis = clock.wallMillis();
    long remainingMillis = Math.max(0, (callerDeadlineNanos - nowNanos) / NANOS_PER_MILLI);
    long dispatchMillis = Math.min(remainingMillis, MAX_DISPATCH_MILLIS);
    return new IdempotencyDeadlines(
        nowNanos + dispatchMillis * NANOS_PER_MILLI,
        nowWallMillis + dispatchMillis,
        nowWallMillis + remainingMillis,
        nowWallMillis + IdempotencyRecord.RETENTION_MILLIS);
  }
}
