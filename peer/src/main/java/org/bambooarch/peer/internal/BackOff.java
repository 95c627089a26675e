package org.bambooarch.peer.internal;

import java.util.random.RandomGenerator;

/** Exponential back-off with full jitter, so that peers do not all return at one moment. */
public final class BackOff {

  private static final int MAX_DOUBLINGS = 20;

  private final long minMillis;
  private final long maxMillis;
  private final RandomGenerator random;
  private int failures;

  /** Creates the back-off; waits lie between the two bounds. */
  public BackOff(long minMillis, long maxMillis, RandomGenerator random) {
    this.minMillis = minMillis;
    this.maxMillis = maxMillis;
    this.random = random;
  }

  /** Returns how long to wait after one more failure. */
  public long nextDelayMillis() {
    long upperBoundMillis = Math.min(maxMillis, minMillis << Math.min(failures + 1, MAX_DOUBLINGS));
    failures++;
    return minMillis + random.nextLong(Math.max(1, upperBoundMillis - minMillis));
  }

  /** Starts again from the shortest wait after a success. */
  public void reset() {
    failures = 0;
  }
}
