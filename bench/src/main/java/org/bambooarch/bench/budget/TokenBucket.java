package org.bambooarch.bench.budget;

/**
 * A token bucket that serves as a baseline and as the bound on admissions; the caller passes in the
 * time.
 */
final class TokenBucket {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double ROUNDING_TOLERANCE = 1e-6;

  private final double quantaPerSecond;
  private final double burstQuanta;
  private double tokens;
  private long refilledNanos;

  private TokenBucket(double quantaPerSecond, double burstQuanta, double tokens) {
    this.quantaPerSecond = quantaPerSecond;
    this.burstQuanta = burstQuanta;
    this.tokens = tokens;
  }

  /** Returns a bucket that is full at time zero. */
  static TokenBucket full(double quantaPerSecond, double burstQuanta) {
    return new TokenBucket(quantaPerSecond, burstQuanta, burstQuanta);
  }

  boolean tryTake(long nowNanos) {
    double gain = (nowNanos - refilledNanos) / NANOS_PER_SECOND * quantaPerSecond;
    tokens = Math.min(burstQuanta, tokens + gain);
    refilledNanos = nowNanos;
    if (tokens + ROUNDING_TOLERANCE < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
