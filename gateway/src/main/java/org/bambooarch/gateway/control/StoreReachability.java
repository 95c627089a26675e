package org.bambooarch.gateway.control;

import java.util.random.RandomGenerator;

/**
 * What the calls of one list tell of whether the store responds to this instance, and how long to
 * wait for it.
 *
 * <p>Used on the event loop only.
 */
final class StoreReachability {

  /** Time for which a call that does not wait is given before a further one is made. */
  private static final long PATIENCE_MILLIS = 200;

  /**
   * Shortest time between two calls while the store is unreachable. Short because an instance that
   * was cut off from the store must learn of servers that have left within seconds after the
   * connection is restored.
   */
  private static final long MIN_RETRY_MILLIS = 400;

  /** Longest time between two calls while the store is unreachable. */
  private static final long MAX_RETRY_MILLIS = 600;

  /** Time after a response for which the store counts as responding, in nanoseconds: 1 s. */
  private static final long RESPONDING_NANOS = 1_000_000_000L;

  private final RandomGenerator random;
  private boolean reachable = true;
  private boolean lastCallFailed;
  private boolean heard;
  private long heardNanos;

  /** Creates the reachability of a store that counts as reachable until a call fails. */
  StoreReachability(RandomGenerator random) {
    this.random = random;
  }

  /** Records a response to a call for this list or another one. */
  void onHeard(long nowNanos) {
    heard = true;
    heardNanos = nowNanos;
  }

  /** Records how the last call for the list has ended. */
  void onCallEnded(boolean failed) {
    lastCallFailed = failed;
  }

  /** Returns whether the last call for the list has failed. */
  boolean lastCallFailed() {
    return lastCallFailed;
  }

  /** Sets whether the store counts as reachable. */
  void setReachable(boolean reachable) {
    this.reachable = reachable;
  }

  /** Returns whether the store counts as reachable. */
  boolean isReachable() {
    return reachable;
  }

  /** Returns for how long to wait for a response until the next call, in milliseconds. */
  long patienceMillis(long nowNanos) {
    boolean responds = heard && nowNanos - heardNanos < RESPONDING_NANOS;
    return reachable || responds
        ? PATIENCE_MILLIS
        : random.nextLong(MIN_RETRY_MILLIS, MAX_RETRY_MILLIS + 1);
  }
}
