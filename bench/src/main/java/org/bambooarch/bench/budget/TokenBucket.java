package org.bambooarch.bench.budget;

/** One token bucket over a clock that the caller passes in, as a baseline and as a check. */
final class TokenBucket {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double ROUNDING = 1e-6;

  private final double quantaPerSecond;
  private final double burstQuanta;
  private double tokens;
  private long filledNanos;

  private TokenBucket(double quantaPerSecond, double burstQuanta, double tokens) {
    this.quantaPerSecond = quantaPerSecond;
    this.burstQuanta = burstQuanta;
    this.tokens = tokens;
  }

  /** Returns a bucket that starts full at time zero. */
  static TokenBucket full(double quantaPerSecond, double burstQuanta) {
    return new TokenBucket(quantaPerSecond, burstQuanta, burstQuanta);
  }

  boolean tryTake(long nowNanos) {
    double gain = (nowNanos - filledNanos) / NANOS_PER_SECOND * quantaPerSecond;
    tokens = Math.min(burstQuanta, tokens + gain);
    filledNanos = nowNanos;
    if (tokens + ROUNDING < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
