package org.bambooarch.peer.internal;

import java.util.random.RandomGenerator;

/**
 * Exponential back-off with jitter, so that the peers of a failed instance do not all reconnect at
 * the same moment.
 *
 * <p>A delay is chosen at random between the minimum and an upper bound that starts at twice the
 * minimum and doubles with each failure up to the maximum. Not thread-safe.
 */
public final class BackOff {

  private static final int MAX_DOUBLINGS = 20;

  private final long minMillis;
  private final long maxMillis;
  private final RandomGenerator random;
  private int failures;

  /** Creates a back-off whose delays lie between the two bounds. */
  public BackOff(long minMillis, long maxMillis, RandomGenerator random) {
    this.minMillis = minMillis;
    this.maxMillis = maxMillis;
    this.random = random;
  }

  /** Returns the delay after one more failure, in milliseconds. */
  public long nextDelayMillis() {
    long upperBoundMillis = Math.min(maxMillis, minMillis << Math.min(failures + 1, MAX_DOUBLINGS));
    failures++;
    return minMillis + random.nextLong(Math.max(1, upperBoundMillis - minMillis));
  }

  /** Starts again from the shortest delays; call it after a success. */
  public void reset() {
    failures = 0;
  }
}
