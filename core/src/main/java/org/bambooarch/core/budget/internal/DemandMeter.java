package org.bambooarch.core.budget.internal;

/**
 * Estimates a demand from counts: the estimate rises quickly when there are enough counts, and
 * falls slowly.
 *
 * <p>It is the larger of a fast and a slow exponential moving average. The fast one counts only
 * while it stands for at least {@link #MIN_FAST_QUANTA} quanta within its time constant.
 */
final class DemandMeter {

  private static final double FAST_TIME_CONSTANT_SECONDS = 0.4;
  private static final double SLOW_TIME_CONSTANT_SECONDS = 4.0;
  private static final double MIN_FAST_QUANTA = 8;

  private double fastQuantaPerSecond;
  private double slowQuantaPerSecond;

  /** Adds the quanta counted in the elapsed time; without elapsed time they are dropped. */
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

  /** Returns the moving average after a sample that lasted the given number of time constants. */
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
