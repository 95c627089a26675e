package org.bambooarch.core.steering.fleet;

/**
 * Counts the events in a sliding window of time, with a resolution of a fiftieth of the window.
 *
 * <p>Not thread-safe.
 */
final class SlidingWindowCounter {

  private static final int SLOTS = 50;

  private final int[] counts = new int[SLOTS];
  private final long slotNanos;
  private long slotStartNanos;
  private int newest;
  private int total;

  SlidingWindowCounter(long spanNanos, long nowNanos) {
    this.slotNanos = Math.max(1, spanNanos / SLOTS);
    this.slotStartNanos = nowNanos;
  }

  void add(int events, long nowNanos) {
    advance(nowNanos);
    counts[newest] += events;
    total += events;
  }

  int total(long nowNanos) {
    advance(nowNanos);
    return Math.max(0, total);
  }

  private void advance(long nowNanos) {
    long passed = (nowNanos - slotStartNanos) / slotNanos;
    if (passed <= 0) {
      return;
    }
    for (long i = 0; i < Math.min(passed, SLOTS); i++) {
      newest = (newest + 1) % SLOTS;
      total -= counts[newest];
      counts[newest] = 0;
    }
    slotStartNanos += passed * slotNanos;
  }
}
