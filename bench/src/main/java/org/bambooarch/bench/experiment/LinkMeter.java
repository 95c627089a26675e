package org.bambooarch.bench.experiment;

/**
 * Counts the bytes on one direction of a link in bins of 10 ms and compares each window of 100 ms,
 * one starting at every bin, with the cap of the link.
 */
final class LinkMeter {

  private static final long BIN_NANOS = 10_000_000L;
  private static final int BINS_PER_WINDOW = 10;
  private static final double NANOS_PER_SECOND = 1e9;

  private final long[] bins;
  private final double windowCapBytes;

  LinkMeter(long durationNanos, long capBytesPerSecond) {
    bins = new long[(int) (durationNanos / BIN_NANOS) + 1];
    windowCapBytes = capBytesPerSecond * BIN_NANOS * BINS_PER_WINDOW / NANOS_PER_SECOND;
  }

  void add(long atNanos, long bytes) {
    int bin = (int) (atNanos / BIN_NANOS);
    if (bin < bins.length) {
      bins[bin] += bytes;
    }
  }

  /** Returns the number of windows with more bytes than the cap allows in 100 ms. */
  int windowsOverCap() {
    int over = 0;
    for (int start = 0; start + BINS_PER_WINDOW <= bins.length; start++) {
      if (windowBytes(start) > windowCapBytes) {
        over++;
      }
    }
    return over;
  }

  /** Returns the bytes of the busiest window as a fraction of what the cap allows. */
  double peakUtilization() {
    double max = 0;
    for (int start = 0; start + BINS_PER_WINDOW <= bins.length; start++) {
      max = Math.max(max, windowBytes(start) / windowCapBytes);
    }
    return max;
  }

  private double windowBytes(int start) {
    double sum = 0;
    for (int bin = start; bin < start + BINS_PER_WINDOW; bin++) {
      sum += bins[bin];
    }
    return sum;
  }
}
