package org.bambooarch.cli.quickstart;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counts and latencies of the requests of all customers. Thread-safe. */
public final class LoadSummary {

  /** Upper bound of the histograms, 10 minutes; longer latencies are recorded as this value. */
  private static final long MAX_LATENCY_MICROS = 600_000_000L;

  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1000.0;
  private static final double MEDIAN = 50.0;
  private static final double P99 = 99.0;

  private final Histogram all = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
  private final Map<String, Histogram> byRoute = new TreeMap<>();
  private final Map<String, Integer> failures = new TreeMap<>();
  private long sent;
  private long refusedAndResent;

  /**
   * Records a request that a target answered.
   *
   * @param latencyMicros time of the last send, without refused sends before it
   */
  public synchronized void recordAnswered(String route, long latencyMicros) {
    sent++;
    all.recordValue(Math.min(latencyMicros, MAX_LATENCY_MICROS));
    byRoute
        .computeIfAbsent(route, r -> new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS))
        .recordValue(Math.min(latencyMicros, MAX_LATENCY_MICROS));
  }

  /** Records a request that was given up without an answer. */
  public synchronized void recordFailed(String reason) {
    sent++;
    failures.merge(reason, 1, Integer::sum);
  }

  /** Records that a request was refused as not run and is sent again. */
  public synchronized void recordResend() {
    refusedAndResent++;
  }

  /** Returns whether there were requests and all of them were answered. */
  public synchronized boolean areAllAnswered() {
    return sent > 0 && failures.isEmpty();
  }

  /** Returns the number of requests that targets answered. */
  public synchronized long answeredCount() {
    return all.getTotalCount();
  }

  /** Returns a table of latencies by route, the failures with their counts, and a summary line. */
  public synchronized String toText() {
    StringBuilder text = new StringBuilder();
    text.append(String.format("  %-34s %8s %9s %9s%n", "route", "answered", "p50 ms", "p99 ms"));
    byRoute.forEach(
        (route, histogram) ->
            text.append(
                String.format(
                    "  %-34s %8d %9.2f %9.2f%n",
                    route,
                    histogram.getTotalCount(),
                    percentileMillis(histogram, MEDIAN),
                    percentileMillis(histogram, P99))));
    failures.forEach(
        (reason, count) -> text.append(String.format("  not answered: %d x %s%n", count, reason)));
    text.append(
        String.format(
            "summary sent=%d answered=%d refusedAndResent=%d p50Millis=%.2f p99Millis=%.2f",
            sent,
            all.getTotalCount(),
            refusedAndResent,
            percentileMillis(all, MEDIAN),
            percentileMillis(all, P99)));
    return text.toString();
  }

  private static double percentileMillis(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }
}
