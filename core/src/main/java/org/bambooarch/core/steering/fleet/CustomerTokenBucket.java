package org.bambooarch.core.steering.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;

/**
 * The token bucket of one customer at one instance, with the counts of the requests that it has
 * admitted.
 *
 * <p>Not thread-safe.
 */
final class CustomerTokenBucket {

  /** Time constant of the moving average of the demand, in nanoseconds: 2 s. */
  private static final double DEMAND_WINDOW_NANOS = 2e9;

  /** Fraction of a window's limit below which requests are admitted beyond the share. */
  private static final double LOW_USE_FRACTION = 0.6;

  /** Fraction of a window's limit from which on nothing is admitted. */
  private static final double MAX_USE_FRACTION = 0.85;

  /**
   * Fraction of a window's limit that an earlier run of the whole fleet is assumed to have
   * admitted: what a customer at its rate still has in its window when the instances are back after
   * they were killed. It falls to zero within the first window.
   */
  private static final double BEFORE_START_FRACTION = 0.3;

  /** Tokens at the start, in requests: enough until the other instances are known. */
  private static final double INITIAL_TOKENS = 1;

  /**
   * Fraction of the capacity that a request leaves to requests of higher priority while the demand
   * exceeds the share's rate, by priority from the highest.
   */
  private static final double[] RESERVED_FRACTION_BY_PRIORITY = {0, 0.2, 0.4};

  /**
   * Largest number of unconfirmed reports kept: those of {@link FleetTable#POSSIBLY_ALIVE_NANOS},
   * after which a silent instance no longer delays their confirmation, and some more. More would be
   * kept only while the list of instances is never read; then the newest one is merged with the
   * next.
   */
  static final int MAX_UNCONFIRMED_REPORTS = 32;

  private static final double NANOS_PER_SECOND = 1e9;

  /** What was reported to the others: admissions since the report before, and the demand. */
  private record Report(long sentNanos, int admitted, double demandPerSecond) {}

  /**
   * The share of the customer's limits that this instance has.
   *
   * @param ratePerSecond rate at which tokens are added, in requests per second
   * @param capacity largest number of tokens that are saved up, in requests
   * @param limitPerWindow requests that the whole fleet may admit in a window
   * @param admittedByOthers requests that the other instances have admitted in the last window
   * @param maxUnconfirmed number of admitted requests unknown to the others below which requests
   *     may be admitted beyond the share
   */
  record Share(
      double ratePerSecond,
      double capacity,
      double limitPerWindow,
      int admittedByOthers,
      int maxUnconfirmed) {}

  private final long windowNanos;
  private final long createdNanos;
  private final SlidingWindowCounter admitted;
  private final Deque<Report> unconfirmedReports = new ArrayDeque<>();
  private Share share = new Share(0, INITIAL_TOKENS, 0, 0, 0);
  private double tokens = INITIAL_TOKENS;
  private double demandPerSecond;
  private double confirmedDemandPerSecond;
  private double requestsSinceTick;
  private int admittedSinceReport;
  private long refilledNanos;

  CustomerTokenBucket(double windowSeconds, long nowNanos) {
    windowNanos = (long) (windowSeconds * NANOS_PER_SECOND);
    admitted = new SlidingWindowCounter(windowNanos, nowNanos);
    refilledNanos = nowNanos;
    createdNanos = nowNanos;
  }

  /**
   * Admits a request and takes a token for it, in either of two cases: if there is a token that is
   * not reserved for requests of higher priority and the fleet is below {@link #MAX_USE_FRACTION}
   * of the limit per window, or, even without a token, if the fleet is below {@link
   * #LOW_USE_FRACTION} of that limit and few admissions of this instance are still unknown to the
   * others.
   *
   * @param priority priority of the request; 0 is the highest
   * @return whether the request is admitted
   */
  boolean tryTake(int priority, long nowNanos) {
    requestsSinceTick++;
    refill(nowNanos);
    double inWindow = admittedInWindow(nowNanos) + admittedBeforeStart(nowNanos);
    boolean withinShare =
        tokens >= 1 + reservedTokens(priority)
            && inWindow < MAX_USE_FRACTION * share.limitPerWindow();
    boolean lowUse =
        unconfirmedAdmissions() < share.maxUnconfirmed()
            && inWindow < LOW_USE_FRACTION * share.limitPerWindow();
    if (!withinShare && !lowUse) {
      return false;
    }
    tokens = Math.max(0, tokens - 1);
    admittedSinceReport++;
    admitted.add(1, nowNanos);
    return true;
  }

  private double reservedTokens(int priority) {
    if (demandPerSecond <= share.ratePerSecond()) {
      return 0;
    }
    int rank = Math.clamp(priority, 0, RESERVED_FRACTION_BY_PRIORITY.length - 1);
    return share.capacity() * RESERVED_FRACTION_BY_PRIORITY[rank];
  }

  private int unconfirmedAdmissions() {
    return admittedSinceReport + unconfirmedReports.stream().mapToInt(Report::admitted).sum();
  }

  private int admittedInWindow(long nowNanos) {
    return share.admittedByOthers() + admitted.total(nowNanos);
  }

  private double admittedBeforeStart(long nowNanos) {
    double elapsedWindows = (double) (nowNanos - createdNanos) / windowNanos;
    return Math.max(0, 1 - elapsedWindows) * BEFORE_START_FRACTION * share.limitPerWindow();
  }

  /** Gives back the token of an admitted request that did not run on any server. */
  void giveBack(long nowNanos) {
    tokens = Math.min(share.capacity(), tokens + 1);
    admitted.add(-1, nowNanos);
  }

  /**
   * Returns the time until the next token, in milliseconds, at the rate of the share or the given
   * one, whichever is higher.
   */
  long retryAfterMillis(double minRatePerSecond) {
    double missing = Math.max(0, 1 - tokens);
    double perSecond = Math.max(share.ratePerSecond(), minRatePerSecond);
    return (long) Math.ceil(1_000 * missing / perSecond);
  }

  /** Updates the average demand with the requests since the last tick. */
  void updateDemand(long sinceLastTickNanos) {
    double perSecond = requestsSinceTick * NANOS_PER_SECOND / Math.max(1, sinceLastTickNanos);
    double weight = 1 - Math.exp(-sinceLastTickNanos / DEMAND_WINDOW_NANOS);
    demandPerSecond += weight * (perSecond - demandPerSecond);
    requestsSinceTick = 0;
  }

  /** Replaces the share; tokens up to now are added at the rate of the old one. */
  void setShare(Share newest, long nowNanos) {
    refill(nowNanos);
    share = newest;
    tokens = Math.min(tokens, share.capacity());
  }

  private void refill(long nowNanos) {
    double seconds = (nowNanos - refilledNanos) / NANOS_PER_SECOND;
    tokens = Math.min(share.capacity(), tokens + seconds * share.ratePerSecond());
    refilledNanos = nowNanos;
  }

  /**
   * Records that a heartbeat reports the counts to the others now; returns the number of requests
   * that this instance admitted in the last window.
   */
  int recordReport(long nowNanos) {
    int admittedUnreported = admittedSinceReport;
    if (unconfirmedReports.size() == MAX_UNCONFIRMED_REPORTS) {
      admittedUnreported += unconfirmedReports.removeLast().admitted();
    }
    unconfirmedReports.addLast(new Report(nowNanos, admittedUnreported, demandPerSecond));
    admittedSinceReport = 0;
    return admitted.total(nowNanos);
  }

  /**
   * Drops the reports that have arrived: an instance from which a heartbeat came after a report was
   * sent has most likely received the report.
   */
  void confirmReports(FleetTable fleet, long nowNanos) {
    while (!unconfirmedReports.isEmpty()
        && fleet.heardAllSince(unconfirmedReports.getFirst().sentNanos(), nowNanos)) {
      confirmedDemandPerSecond = unconfirmedReports.removeFirst().demandPerSecond();
    }
  }

  /** Returns the number of reports that are not confirmed yet. */
  int unconfirmedReportCount() {
    return unconfirmedReports.size();
  }

  /** Returns the average demand at this instance, in requests per second. */
  double demandPerSecond() {
    return demandPerSecond;
  }

  /** Returns this instance's demand that the others know of, in requests per second. */
  double confirmedDemandPerSecond() {
    return confirmedDemandPerSecond;
  }

  /** Returns what admission is decided from, as {@code key=value} fields of a log line. */
  String describe(long nowNanos) {
    return String.format(
        Locale.ROOT,
        "share-per-second=%.2f demand-per-second=%.2f tokens=%.2f capacity=%.2f"
            + " admitted-in-window=%d limit-per-window=%.0f",
        share.ratePerSecond(),
        demandPerSecond,
        tokens,
        share.capacity(),
        admittedInWindow(nowNanos),
        share.limitPerWindow());
  }
}
