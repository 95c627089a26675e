package org.bambooarch.core.steering.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;

/**
 * What one instance may admit of one customer, and what it has admitted.
 *
 * <p>Not thread-safe.
 */
final class CustomerTokenBucket {

  /** Time constant of the demand's moving average, in nanoseconds: 2 s. */
  private static final double DEMAND_WINDOW_NANOS = 2e9;

  /** Part of a window's limit below which requests are admitted beyond the share. */
  private static final double LOW_USE_FRACTION = 0.6;

  /** Part of a window's limit beyond which nothing is admitted. */
  private static final double MAX_USE_FRACTION = 0.85;

  /**
   * Part of a window's limit that a run before this one, of the whole fleet, may have admitted:
   * what a customer at its rate has left of its window when instances are back after a kill.
   */
  private static final double BEFORE_START_FRACTION = 0.3;

  /** Tokens at the start, in requests: enough until the instances are known. */
  private static final double INITIAL_TOKENS = 1;

  /** Part of a bucket that is left for more urgent requests, by priority from the highest. */
  private static final double[] RESERVED_FRACTION_BY_PRIORITY = {0, 0.2, 0.4};

  /**
   * The most reports kept: those of {@link FleetTable#POSSIBLY_ALIVE_NANOS} and some more, after
   * which a silent instance no longer holds them up. Only a list of instances that is never read
   * does.
   */
  static final int MAX_UNCONFIRMED_REPORTS = 32;

  private static final double NANOS_PER_SECOND = 1e9;

  /** What was told to others at a moment: admissions since the report before, and demand. */
  private record Report(long sentNanos, int admitted, double demandPerSecond) {}

  /**
   * What the fleet's division gives an instance.
   *
   * @param ratePerSecond requests a second
   * @param capacity most tokens that are saved up, in requests
   * @param limitPerWindow requests that the fleet may admit in a window
   * @param admittedByOthers requests that the others have admitted in the last window
   * @param maxUnconfirmed requests that may be admitted before the others have heard of them
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

  /** Takes one token for a request of a priority, 0 being the highest; returns whether it may. */
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

  /** Gives the token of a request back that ran nowhere. */
  void giveBack(long nowNanos) {
    tokens = Math.min(share.capacity(), tokens + 1);
    admitted.add(-1, nowNanos);
  }

  /** Returns when the next token is there at a rate of at least the given one. */
  long retryAfterMillis(double minRatePerSecond) {
    double missing = Math.max(0, 1 - tokens);
    double perSecond = Math.max(share.ratePerSecond(), minRatePerSecond);
    return (long) Math.ceil(1_000 * missing / perSecond);
  }

  /** Measures the demand since the last tick. */
  void updateDemand(long sinceLastTickNanos) {
    double perSecond = requestsSinceTick * NANOS_PER_SECOND / Math.max(1, sinceLastTickNanos);
    double weight = 1 - Math.exp(-sinceLastTickNanos / DEMAND_WINDOW_NANOS);
    demandPerSecond += weight * (perSecond - demandPerSecond);
    requestsSinceTick = 0;
  }

  /** Takes in a new share; tokens up to now come at the old one's rate. */
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

  /** Notes that others are told now; returns the requests admitted in the last window. */
  int recordReport(long nowNanos) {
    int admittedUnreported = admittedSinceReport;
    if (unconfirmedReports.size() == MAX_UNCONFIRMED_REPORTS) {
      admittedUnreported += unconfirmedReports.removeLast().admitted();
    }
    unconfirmedReports.addLast(new Report(nowNanos, admittedUnreported, demandPerSecond));
    admittedSinceReport = 0;
    return admitted.total(nowNanos);
  }

  /** Notes which reports have arrived: an instance heard after one has most likely got it. */
  void confirmReports(FleetTable fleet, long nowNanos) {
    while (!unconfirmedReports.isEmpty()
        && fleet.heardAllSince(unconfirmedReports.getFirst().sentNanos(), nowNanos)) {
      confirmedDemandPerSecond = unconfirmedReports.removeFirst().demandPerSecond();
    }
  }

  /** Returns how many reports wait to be confirmed. */
  int unconfirmedReportCount() {
    return unconfirmedReports.size();
  }

  /** Returns the demand here, in requests a second. */
  double demandPerSecond() {
    return demandPerSecond;
  }

  /** Returns the demand that the others know of, in requests a second. */
  double confirmedDemandPerSecond() {
    return confirmedDemandPerSecond;
  }

  /** Returns what admission is decided from, as fields of a log line. */
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
