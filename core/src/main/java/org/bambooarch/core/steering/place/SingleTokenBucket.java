package org.bambooarch.core.steering.place;

/**
 * A token bucket that saves up one token at most.
 *
 * <p>Not thread-safe.
 */
final class SingleTokenBucket {

  private double tokens;
  private long refilledNanos;

  /** Creates an empty bucket. */
  SingleTokenBucket(long nowNanos) {
    this.refilledNanos = nowNanos;
  }

  /**
   * Returns whether there is a token.
   *
   * @param perSecond tokens that have been added per second since the last call
   */
  boolean hasToken(double perSecond, long nowNanos) {
    double seconds = (nowNanos - refilledNanos) / 1e9;
    tokens = Math.min(1, tokens + seconds * perSecond);
    refilledNanos = nowNanos;
    return tokens >= 1;
  }

  /** Takes a token, if there is one; the parameters are those of {@link #hasToken}. */
  boolean tryTake(double perSecond, long nowNanos) {
    if (!hasToken(perSecond, nowNanos)) {
      return false;
    }
    tokens--;
    return true;
  }
}
