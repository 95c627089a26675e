package org.bambooarch.gateway.control;

/**
 * What a stopping instance may still start, so that it ends in time.
 *
 * @param acceptUntilNanos monotonic time from which new requests are refused, in nanoseconds
 * @param endNanos monotonic time at which the process ends and aborts what is unfinished, in
 *     nanoseconds
 */
public record StopSchedule(long acceptUntilNanos, long endNanos) {

  /**
   * Longest time after the stop signal during which new requests are still accepted: clients may
   * use a cached directory response that names this instance until its time to live ends.
   */
  private static final long MAX_ACCEPT_MILLIS = 2_800;

  /** Time before the end of the stop grace period at which the process ends by itself. */
  private static final long STOP_MARGIN_MILLIS = 250;

  /** Time before the end in which the last instance of a region accepts no requests either. */
  private static final long LAST_ACCEPT_MARGIN_MILLIS = 500;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Factor by which an idempotent request's average time must fit into the time that is left. If
   * the request is aborted nevertheless, the client may send it again.
   */
  private static final double IDEMPOTENT_TIME_FACTOR = 1;

  /** The same factor for other requests, whose outcome stays unknown if they are aborted. */
  private static final double NON_IDEMPOTENT_TIME_FACTOR = 2;

  /**
   * Returns the schedule of a stop that begins now. At least half of the grace period is left for
   * requests that have been accepted.
   *
   * @param nowNanos monotonic time, in nanoseconds
   * @param graceMillis time until the platform kills the process, in milliseconds
   */
  public static StopSchedule from(long nowNanos, long graceMillis) {
    long stopMillis = Math.max(0, graceMillis - STOP_MARGIN_MILLIS);
    long acceptMillis = Math.min(MAX_ACCEPT_MILLIS, stopMillis / 2);
    return new StopSchedule(
        nowNanos + acceptMillis * NANOS_PER_MILLI, nowNanos + stopMillis * NANOS_PER_MILLI);
  }

  /** Returns whether new requests are accepted at the given monotonic time. */
  public boolean accepts(long nowNanos) {
    return nowNanos - acceptUntilNanos < 0;
  }

  /**
   * Returns whether a new request may be accepted at the given monotonic time: after {@code
   * acceptUntilNanos}, only if it is over well before the end whatever its server does, so that it
   * is not aborted on a busy machine either.
   *
   * @param deadlineNanos monotonic deadline of the request
   */
  public boolean accepts(long deadlineNanos, long nowNanos) {
    return accepts(nowNanos) || deadlineNanos - lastAcceptNanos() <= 0;
  }

  /**
   * Returns the monotonic time, in nanoseconds, from which new requests are refused if this is the
   * last instance of its region.
   */
  public long lastAcceptNanos() {
    return Math.max(acceptUntilNanos, endNanos - LAST_ACCEPT_MARGIN_MILLIS * NANOS_PER_MILLI);
  }

  /** Returns whether the process must have ended at the given monotonic time. */
  public boolean hasEnded(long nowNanos) {
    return nowNanos - endNanos >= 0;
  }

  /**
   * Returns whether a request that is sent to a server now is likely to be over in time.
   *
   * @param deadlineNanos monotonic deadline of the request, at which it is over in any case
   * @param averageNanos average time that servers need for such a request, in nanoseconds
   * @param idempotent whether a client may send the request again after it was aborted
   */
  public boolean leavesTimeFor(
      long deadlineNanos, double averageNanos, boolean idempotent, long nowNanos) {
    if (deadlineNanos - endNanos <= 0) {
      return true;
    }
    double factor = idempotent ? IDEMPOTENT_TIME_FACTOR : NON_IDEMPOTENT_TIME_FACTOR;
    return averageNanos * factor <= endNanos - nowNanos;
  }

  /**
   * Returns whether a request that no server has run yet may be sent to one now. If not, it is
   * refused as not run, and the client can send it to another instance.
   *
   * @see #leavesTimeFor
   */
  public boolean maySend(
      long deadlineNanos, double averageNanos, boolean idempotent, long nowNanos) {
    boolean overInTime = deadlineNanos - endNanos <= 0;
    return overInTime
        || (accepts(nowNanos) && leavesTimeFor(deadlineNanos, averageNanos, idempotent, nowNanos));
  }
}
