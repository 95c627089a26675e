package org.bambooarch.gateway.control;

/**
 * Decides when the watch of a list is renewed because other instances know more of the list: the
 * response to it was lost, and it would wait for the next change.
 *
 * <p>Used on the event loop only.
 */
final class WatchRenewal {

  /**
   * Time for which others have known more before the watch is renewed, in nanoseconds: 0.6 s. A
   * response that is not lost arrives earlier.
   */
  private static final long MIN_DELAY_NANOS = 600_000_000L;

  /** Longest time until the watch is renewed once more; each time is twice the one before. */
  private static final long MAX_DELAY_NANOS = 16_000_000_000L;

  private boolean behindBefore;
  private long delayNanos;
  private long renewNanos;

  /** Returns whether to renew the watch now; called with each tick. */
  boolean isDue(boolean behind, long nowNanos) {
    if (!behind || !behindBefore) {
      behindBefore = behind;
      delayNanos = MIN_DELAY_NANOS;
      renewNanos = nowNanos + delayNanos;
      return false;
    }
    if (nowNanos - renewNanos < 0) {
      return false;
    }
    delayNanos = Math.min(2 * delayNanos, MAX_DELAY_NANOS);
    renewNanos = nowNanos + delayNanos;
    return true;
  }
}
