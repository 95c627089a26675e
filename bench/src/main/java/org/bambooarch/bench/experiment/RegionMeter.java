package org.bambooarch.bench.experiment;

/**
 * Samples the slots in use in each region and records the highest mean of 20 successive samples,
 * which are one second. Dead servers do not count.
 */
final class RegionMeter {

  private static final int SAMPLES_PER_WINDOW = 20;

  private final FakeTarget[] targets;
  private final double[][] recentUtilization;
  private int samples;
  private double peakUtilization;

  RegionMeter(int regions, FakeTarget[] targets) {
    this.targets = targets;
    recentUtilization = new double[regions][SAMPLES_PER_WINDOW];
  }

  void sample() {
    for (int region = 0; region < recentUtilization.length; region++) {
      recentUtilization[region][samples % SAMPLES_PER_WINDOW] = slotUtilization(region);
    }
    samples++;
    if (samples < SAMPLES_PER_WINDOW) {
      return;
    }
    for (double[] window : recentUtilization) {
      double sum = 0;
      for (double utilization : window) {
        sum += utilization;
      }
      peakUtilization = Math.max(peakUtilization, sum / SAMPLES_PER_WINDOW);
    }
  }

  /** Returns the highest fraction of a region's slots in use over a second, for any region. */
  double peakUtilization() {
    return peakUtilization;
  }

  private double slotUtilization(int region) {
    int running = 0;
    int slots = 0;
    for (FakeTarget target : targets) {
      if (target.region == region && !target.dead) {
        running += target.running;
        slots += target.slots;
      }
    }
    return slots == 0 ? 0 : (double) running / slots;
  }
}
