package org.bambooarch.core.budget.internal;

/** Estimates a demand from counts: quick to rise when there are enough counts, slow to fall. */
final class DemandMeter {

  private static final double FAST_SECONDS = 0.4;
  private static final double SLOW_SECONDS = 4.0;
  private static final double MEANINGFUL_QUANTA = 8;

  private double fastQuantaPerSecond;
  private double slowQuantaPerSecond;

  void record(long quanta, double elapsedSeconds) {
    if (elapsedSeconds <= 0) {
      return;
    }
    double sample = quanta / elapsedSeconds;
    fastQuantaPerSecond = blend(fastQuantaPerSecond, sample, elapsedSeconds / FAST_SECONDS);
    slowQuantaPerSecond = blend(slowQuantaPerSecond, sample, elapsedSeconds / SLOW_SECONDS);
  }

  private static double blend(double old, double sample, double steps) {
    double weight = 1 - Math.exp(-steps);
    return old + weight * (sample - old);
  }

  double quantaPerSecond() {
    boolean meaningful = fastQuantaPerSecond * FAST_SECONDS >= MEANINGFUL_QUANTA;
    return meaningful ? Math.max(fastQuantaPerSecond, slowQuantaPerSecond) : slowQuantaPerSecond;
  }
}
