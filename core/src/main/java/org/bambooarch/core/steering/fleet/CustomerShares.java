package org.bambooarch.core.steering.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.bambooarch.core.steering.config.CustomerPolicy;
import org.bambooarch.core.steering.config.SteeringConfig;
import org.bambooarch.core.steering.hash.Hashes;

/**
 * Keeps customers within their rates over all instances without asking anyone.
 *
 * <p>Each instance has a token bucket for each customer. A part of the rate is divided evenly among
 * all known instances; the rest is divided by the demand in the instances' heartbeats. Demand of an
 * instance that fell silent keeps its part for {@link FleetTable#REMEMBER_NANOS}, on either side of
 * a cut, and meanwhile no part grows, so that the shares of both sides still add up to the rate. An
 * instance that has heard nobody for that long uses its even part only.
 *
 * <p>A share of a small customer is less than one request, and its requests come unevenly. While
 * the fleet has admitted few of a customer's requests in the last window, an instance may therefore
 * admit a few more until the others have heard of them.
 *
 * <p>Not thread-safe.
 */
public final class CustomerShares {

  /** Part of a rate that is divided evenly: what an instance keeps while it is cut off. */
  static final double EVEN_PART = 0.2;

  /** Part of the burst that is divided among the instances; the rest covers differing views. */
  static final double BURST_PART = 0.6;

  /** Part of the burst that is divided evenly, since small customers' demand comes unevenly. */
  static final double EVEN_BURST_PART = 0.5;

  /** Time constant of the demand's moving average, in nanoseconds: 2 s. */
  static final double DEMAND_WINDOW_NANOS = 2e9;

  /** Part of a window's limit below which instances admit beyond their shares. */
  static final double CALM_PART = 0.6;

  /** Part of a window's limit beyond which nothing is admitted. */
  static final double FULL_PART = 0.85;

  /** Part of a window's limit that all instances may admit before others have heard of it. */
  static final double UNKNOWN_PART = 0.3;

  /**
   * Requests that each instance may admit on top, since a small customer's come in pairs and threes
   * by chance.
   */
  static final double UNKNOWN_BY_CHANCE = 1.3;

  /** Part of a window's limit that bounds both, however many instances there are. */
  static final double MOST_UNKNOWN_PART = 0.5;

  /**
   * Part of a window's limit that a run before this one, of the whole fleet, may have admitted:
   * what a customer at its rate has left of its window when instances are back after a kill.
   */
  static final double BEFORE_START_PART = 0.3;

  /** Tokens of a customer at the start, in requests: enough until the instances are known. */
  private static final double FIRST_TOKENS = 1;

  /** Instances that are assumed before the list of instances was read. */
  private static final int UNLISTED_INSTANCES = 20;

  /**
   * Part of an even share that counts as demand at each instance, since the demand of a small
   * customer at one instance cannot be measured well.
   */
  private static final double PRESUMED_DEMAND_PART = 0.25;

  /** Part of a bucket that is left for more urgent requests, by priority from the highest. */
  private static final double[] RESERVED_PART_BY_PRIORITY = {0, 0.2, 0.4};

  private static final double NANOS_PER_SECOND = 1e9;

  private final FleetTable fleet;
  private final QuotaTolerance tolerance;
  private final Map<String, Bucket> buckets = new HashMap<>();

  /** What was told to others at a moment: admissions since the report before, and demand. */
  private record Report(long sentNanos, int admitted, double demandPerSecond) {}

  private static final class Bucket {
    private final SlidingCount admitted;
    private double ratePerSecond;
    private double capacity;
    private double tokens;
    private double demandPerSecond;
    private double askedSinceTick;
    private double limitPerWindow;
    private int admittedByOthers;
    private final Deque<Report> unconfirmed = new ArrayDeque<>();
    private int unreported;
    private int mayAdmitUnknown;
    private double uncutDemandPart;
    private double knownDemandPerSecond;
    private long refilledNanos;
    private final long createdNanos;
    private final long windowNanos;

    private Bucket(double windowSeconds, long nowNanos) {
      windowNanos = (long) (windowSeconds * NANOS_PER_SECOND);
      admitted = new SlidingCount(windowNanos, nowNanos);
      capacity = FIRST_TOKENS;
      tokens = FIRST_TOKENS;
      refilledNanos = nowNanos;
      createdNanos = nowNanos;
    }

    private double admittedBeforeStart(long nowNanos) {
      double gone = (double) (nowNanos - createdNanos) / windowNanos;
      return Math.max(0, 1 - gone) * BEFORE_START_PART * limitPerWindow;
    }

    private int unknownToOthers() {
      return unreported + unconfirmed.stream().mapToInt(Report::admitted).sum();
    }

    private int admittedInWindow(long nowNanos) {
      return admittedByOthers + admitted.total(nowNanos);
    }

    private boolean isPressed() {
      return demandPerSecond > ratePerSecond;
    }
  }

  /** Creates shares that follow the given fleet. */
  public CustomerShares(FleetTable fleet, QuotaTolerance tolerance) {
    this.fleet = fleet;
    this.tolerance = tolerance;
  }

  /**
   * Takes one token; returns whether the request is within the customer's rate.
   *
   * <p>A customer that asks more than its rate gets its more urgent requests answered: the others
   * leave a part of the bucket untouched.
   *
   * @param priority rank of the request's route; 0 is the highest
   */
  public boolean tryTake(CustomerPolicy customer, int priority, long nowNanos) {
    if (!customer.isLimited()) {
      return true;
    }
    Bucket bucket = bucket(customer.name(), nowNanos);
    bucket.askedSinceTick++;
    refill(bucket, nowNanos);
    double admitted = bucket.admittedInWindow(nowNanos) + bucket.admittedBeforeStart(nowNanos);
    int rank = Math.clamp(priority, 0, RESERVED_PART_BY_PRIORITY.length - 1);
    double reserved = bucket.isPressed() ? bucket.capacity * RESERVED_PART_BY_PRIORITY[rank] : 0;
    boolean inShare = bucket.tokens >= 1 + reserved && admitted < FULL_PART * bucket.limitPerWindow;
    boolean inCalm =
        bucket.unknownToOthers() < bucket.mayAdmitUnknown
            && admitted < CALM_PART * bucket.limitPerWindow;
    if (!inShare && !inCalm) {
      return false;
    }
    bucket.tokens = Math.max(0, bucket.tokens - 1);
    bucket.unreported++;
    bucket.admitted.add(1, nowNanos);
    return true;
  }

  /** Gives the token of a request back that ran nowhere. */
  public void giveBack(CustomerPolicy customer, long nowNanos) {
    Bucket bucket = buckets.get(customer.name());
    if (bucket != null) {
      bucket.tokens = Math.min(bucket.capacity, bucket.tokens + 1);
      bucket.admitted.add(-1, nowNanos);
    }
  }

  /** Returns when the next token is there, in milliseconds from now. */
  public long retryAfterMillis(CustomerPolicy customer, long nowNanos) {
    Bucket bucket = bucket(customer.name(), nowNanos);
    double missing = Math.max(0, 1 - bucket.tokens);
    double perSecond = Math.max(bucket.ratePerSecond, customer.requestsPerSecond() / 100);
    return (long) Math.ceil(1_000 * missing / perSecond);
  }

  /** Returns what a refusal was decided from, as fields of a log line. */
  public String describe(CustomerPolicy customer, long nowNanos) {
    Bucket bucket = bucket(customer.name(), nowNanos);
    return String.format(
        Locale.ROOT,
        "customer=%s rate-per-second=%.1f share-per-second=%.2f demand-per-second=%.2f"
            + " tokens=%.2f capacity=%.2f admitted-in-window=%d limit-per-window=%.0f",
        customer.name(),
        customer.requestsPerSecond(),
        bucket.ratePerSecond,
        bucket.demandPerSecond,
        bucket.tokens,
        bucket.capacity,
        bucket.admittedInWindow(nowNanos),
        bucket.limitPerWindow);
  }

  /** Measures demand and divides the rates anew. */
  public void tick(SteeringConfig config, long nowNanos, long sinceLastTickNanos) {
    List<Heartbeat> others = fleet.remembered(nowNanos);
    for (CustomerPolicy customer : config.customers()) {
      Bucket bucket = bucket(customer.name(), nowNanos);
      measure(bucket, sinceLastTickNanos);
      refill(bucket, nowNanos);
      confirm(bucket, nowNanos);
      divide(customer, bucket, others, fleet.mayBeCut(nowNanos));
      bucket.mayAdmitUnknown = fleet.isListed() ? unknownPart(bucket) : 0;
    }
  }

  /** An instance that was heard after a report has most likely got the report as well. */
  private void confirm(Bucket bucket, long nowNanos) {
    while (!bucket.unconfirmed.isEmpty()
        && fleet.heardAllSince(bucket.unconfirmed.getFirst().sentNanos(), nowNanos)) {
      bucket.knownDemandPerSecond = bucket.unconfirmed.removeFirst().demandPerSecond();
    }
  }

  private int unknownPart(Bucket bucket) {
    double limit = bucket.limitPerWindow / fleet.knownInstances();
    double unknown = Math.min(MOST_UNKNOWN_PART * limit, UNKNOWN_PART * limit + UNKNOWN_BY_CHANCE);
    return (int) Math.round(unknown);
  }

  private static void measure(Bucket bucket, long sinceLastTickNanos) {
    double perSecond = bucket.askedSinceTick * NANOS_PER_SECOND / Math.max(1, sinceLastTickNanos);
    double weight = 1 - Math.exp(-sinceLastTickNanos / DEMAND_WINDOW_NANOS);
    bucket.demandPerSecond += weight * (perSecond - bucket.demandPerSecond);
    bucket.askedSinceTick = 0;
  }

  private void divide(
      CustomerPolicy customer, Bucket bucket, List<Heartbeat> others, boolean mayBeCut) {
    double even = 1.0 / Math.max(fleet.knownInstances(), fleet.isListed() ? 1 : UNLISTED_INSTANCES);
    double byDemand = demandPart(customer, bucket, others);
    if (mayBeCut) {
      byDemand = Math.min(byDemand, bucket.uncutDemandPart);
    } else {
      bucket.uncutDemandPart = byDemand;
    }
    double share = EVEN_PART * even + (1 - EVEN_PART) * byDemand;
    bucket.ratePerSecond = customer.requestsPerSecond() * share;
    double rate = customer.requestsPerSecond();
    double burst = tolerance.burstOf(rate, customer.burstRequests());
    bucket.limitPerWindow = rate * tolerance.windowSeconds() + burst;
    double burstShare = EVEN_BURST_PART * even + (1 - EVEN_BURST_PART) * byDemand;
    bucket.capacity = Math.max(1, burst * BURST_PART * burstShare);
    bucket.tokens = Math.min(bucket.tokens, bucket.capacity);
    int hash = Hashes.intOf(customer.name());
    bucket.admittedByOthers =
        others.stream().mapToInt(h -> h.customerAdmitted().getOrDefault(hash, 0)).sum();
  }

  private double demandPart(CustomerPolicy customer, Bucket bucket, List<Heartbeat> others) {
    boolean alone = fleet.isListed() && fleet.knownInstances() == 1;
    if (others.isEmpty() && !alone) {
      return 0;
    }
    int hash = Hashes.intOf(customer.name());
    double presumed = PRESUMED_DEMAND_PART * customer.requestsPerSecond() / fleet.knownInstances();
    double own = bucket.knownDemandPerSecond + presumed;
    double total = own;
    for (Heartbeat heartbeat : others) {
      total += heartbeat.customerDemand().getOrDefault(hash, 0.0) + presumed;
    }
    return own / total;
  }

  /** Returns the demand at this instance by hash of the customer's name, for heartbeats. */
  public Map<Integer, Double> demand() {
    Map<Integer, Double> demand = new HashMap<>();
    buckets.forEach(
        (name, bucket) -> {
          if (bucket.demandPerSecond >= 0.05) {
            demand.put(Hashes.intOf(name), bucket.demandPerSecond);
          }
        });
    return demand;
  }

  /**
   * Returns the requests that this instance admitted in the last window, by hash of the customer's
   * name, for a heartbeat that is sent now.
   */
  public Map<Integer, Integer> reportAdmitted(long nowNanos) {
    Map<Integer, Integer> admitted = new HashMap<>();
    buckets.forEach(
        (name, bucket) -> {
          bucket.unconfirmed.addLast(
              new Report(nowNanos, bucket.unreported, bucket.demandPerSecond));
          bucket.unreported = 0;
          int count = bucket.admitted.total(nowNanos);
          if (count > 0) {
            admitted.put(Hashes.intOf(name), count);
          }
        });
    return admitted;
  }

  private Bucket bucket(String customer, long nowNanos) {
    return buckets.computeIfAbsent(
        customer, name -> new Bucket(tolerance.windowSeconds(), nowNanos));
  }

  private static void refill(Bucket bucket, long nowNanos) {
    double seconds = (nowNanos - bucket.refilledNanos) / NANOS_PER_SECOND;
    bucket.tokens = Math.min(bucket.capacity, bucket.tokens + seconds * bucket.ratePerSecond);
    bucket.refilledNanos = nowNanos;
  }
}
