package org.bambooarch.core.budget.internal;

/** Estimates a demand from counts: quick to rise when there are enough counts, slow to fall. */
final class DemandMeter {

  private static final double FAST_TIME_CONSTANT_SECONDS = 0.4;
  private static final double SLOW_TIME_CONSTANT_SECONDS = 4.0;
  private static final double MIN_FAST_QUANTA = 8;

  private double fastQuantaPerSecond;
  private double slowQuantaPerSecond;

  void record(long quanta, double elapsedSeconds) {
    if (elapsedSeconds <= 0) {
      return;
    }
    double sample = quanta / elapsedSeconds;
    fastQuantaPerSecond =
        smoothed(fastQuantaPerSecond, sample, elapsedSeconds / FAST_TIME_CONSTANT_SECONDS);
    slowQuantaPerSecond =
        smoothed(slowQuantaPerSecond, sample, elapsedSeconds / SLOW_TIME_CONSTANT_SECONDS);
  }

  private static double smoothed(double previous, double sample, double timeConstants) {
    double weight = 1 - Math.exp(-timeConstants);
    return previous + weight * (sample - previous);
  }

  double quantaPerSecond() {
    boolean fastIsReliable = fastQuantaPerSecond * FAST_TIME_CONSTANT_SECONDS >= MIN_FAST_QUANTA;
    return fastIsReliable
        ? Math.max(fastQuantaPerSecond, slowQuantaPerSecond)
        : slowQuantaPerSecond;
  }
}
