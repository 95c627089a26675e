package org.bambooarch.bench.experiment;

/** Samples the slots in use in each region and keeps the fullest second. */
final class RegionMeter {

  private static final int SAMPLES_IN_WINDOW = 20;

  private final FakeTarget[] targets;
  private final double[][] recent;
  private int samples;
  private double peak;

  RegionMeter(int regions, FakeTarget[] targets) {
    this.targets = targets;
    recent = new double[regions][SAMPLES_IN_WINDOW];
  }

  void sample() {
    for (int region = 0; region < recent.length; region++) {
      recent[region][samples % SAMPLES_IN_WINDOW] = shareInUse(region);
    }
    samples++;
    if (samples < SAMPLES_IN_WINDOW) {
      return;
    }
    for (double[] window : recent) {
      double sum = 0;
      for (double share : window) {
        sum += share;
      }
      peak = Math.max(peak, sum / SAMPLES_IN_WINDOW);
    }
  }

  /** Returns the part of a region's slots in use in its fullest second. */
  double peakShare() {
    return peak;
  }

  private double shareInUse(int region) {
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
