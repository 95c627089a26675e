package org.bambooarch.core.request.idempotency;

import org.bambooarch.core.time.Clock;

/**
 * The deadlines of one send of a non-idempotent request.
 *
 * @param dispatchDeadlineNanos monotonic moment after which the request must not be dispatched
 * @param dispatchDeadlineWallMillis the same moment on the wall clock
 * @param answerDeadlineWallMillis wall moment after which the owner stops waiting for the answer
 * @param expiresAtWallMillis wall moment after which the record may be deleted
 */
public record IdempotencyDeadlines(
    long dispatchDeadlineNanos,
    long dispatchDeadlineWallMillis,
    long answerDeadlineWallMillis,
    long expiresAtWallMillis) {

  /** The longest time between the intent and the dispatch, in milliseconds. */
  public static final long MAX_DISPATCH_MILLIS = 2_000;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Returns the deadlines of a request that the caller gave the stated deadline. */
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
