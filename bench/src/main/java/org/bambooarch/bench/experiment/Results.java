package org.bambooarch.bench.experiment;

import org.HdrHistogram.Histogram;
import org.bambooarch.core.inventory.PriorityClass;

/**
 * The measurements of one simulation run. Arrays are indexed by customer, unless their name says
 * otherwise; only requests that arrived in the measured period count.
 */
final class Results {

  private static final long MAX_MICROS = 120_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final long NANOS_PER_MICRO = 1_000L;
  private static final double MICROS_PER_MILLI = 1_000;

  final Histogram[] latencyMicrosByPriority = new Histogram[PriorityClass.values().length];
  final Histogram[] interactiveLatencyMicrosByCustomer;
  final long[] offered;
  final long[] refused;
  final long[] failed;
  long unreachable;
  long attempts;
  long sheds;
  int windowsOverCap;
  double peakLinkUtilization;
  double peakRegionUtilization;
  double drainSeconds = Double.NaN;

  Results(int customers) {
    offered = new long[customers];
    refused = new long[customers];
    failed = new long[customers];
    interactiveLatencyMicrosByCustomer = new Histogram[customers];
    for (int index = 0; index < latencyMicrosByPriority.length; index++) {
      latencyMicrosByPriority[index] = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    }
    for (int customer = 0; customer < customers; customer++) {
      interactiveLatencyMicrosByCustomer[customer] = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    }
  }

  void recordAnswered(Request request, long nowNanos) {
    long micros = Math.min(MAX_MICROS, (nowNanos - request.arrivedNanos) / NANOS_PER_MICRO);
    latencyMicrosByPriority[request.priorityClass().ordinal()].recordValue(micros);
    if (request.priorityClass() != PriorityClass.BULK) {
      interactiveLatencyMicrosByCustomer[request.customer].recordValue(micros);
    }
  }

  double latencyMillis(PriorityClass priorityClass, double percentile) {
    return latencyMicrosByPriority[priorityClass.ordinal()].getValueAtPercentile(percentile)
        / MICROS_PER_MILLI;
  }

  /**
   * Returns the highest 99th percentile latency of a customer in milliseconds, without bulk
   * requests. Leaves out the given customer; -1 leaves out none.
   */
  double worstCustomerP99Millis(int withoutCustomer) {
    double worst = 0;
    for (int customer = 0; customer < interactiveLatencyMicrosByCustomer.length; customer++) {
      if (customer != withoutCustomer) {
        double p99 = interactiveLatencyMicrosByCustomer[customer].getValueAtPercentile(99);
        worst = Math.max(worst, p99 / MICROS_PER_MILLI);
      }
    }
    return worst;
  }

  /**
   * Returns the percentage of the requests within their customer's rate that were refused and not
   * run, with those that reached no instance.
   */
  double refusedPercent() {
    return percent(sum(refused), sum(offered));
  }

  /**
   * Returns the percentage of the requests within their customer's rate that failed, or whose
   * outcome is unknown.
   */
  double failedPercent() {
    return percent(sum(failed), sum(offered));
  }

  /** Returns the highest percentage of refused and failed requests of any customer. */
  double worstUnservedPercent() {
    double worst = 0;
    for (int customer = 0; customer < offered.length; customer++) {
      worst = Math.max(worst, percent(refused[customer] + failed[customer], offered[customer]));
    }
    return worst;
  }

  /** Returns the percentage of attempts that a server refused because all its slots were taken. */
  double shedPercent() {
    return percent(sheds, attempts);
  }

  private static long sum(long[] values) {
    long sum = 0;
    for (long value : values) {
      sum += value;
    }
    return sum;
  }

  private static double percent(long part, long whole) {
    return whole == 0 ? 0 : 100.0 * part / whole;
  }
}
