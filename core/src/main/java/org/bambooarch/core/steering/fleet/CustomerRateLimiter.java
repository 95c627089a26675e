package org.bambooarch.core.steering.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.bambooarch.core.steering.config.CustomerPolicy;
import org.bambooarch.core.steering.config.SteeringConfig;
import org.bambooarch.core.steering.hash.Hashes;

/**
 * Keeps each customer's requests at all instances together within the customer's rate, without
 * asking another instance about a request.
 *
 * <p>Each instance has a token bucket for each customer. A fixed fraction of the rate is divided
 * evenly among all known instances; the rest is divided in proportion to the demand that the
 * instances report in their heartbeats. The demand of an instance that fell silent keeps its part
 * for {@link FleetTable#POSSIBLY_ALIVE_NANOS}, on both sides of a network partition, and no part by
 * demand grows in that time, so that the shares of both sides still add up to the rate. An instance
 * that has received no heartbeat for that long uses its even part only.
 *
 * <p>The share of a small customer is less than one request, while its requests arrive unevenly.
 * While the fleet has admitted few of a customer's requests in the last window, an instance may
 * therefore admit a few more than its share until the other instances know of them.
 *
 * <p>Not thread-safe.
 */
public final class CustomerRateLimiter {

  /** Fraction of a rate that is divided evenly: what an instance keeps while it is partitioned. */
  static final double EVEN_RATE_FRACTION = 0.2;

  /**
   * Fraction of the burst that is divided among the instances; the rest covers instances whose
   * views of the fleet differ.
   */
  static final double DIVIDED_BURST_FRACTION = 0.6;

  /** Fraction of the divided burst that is divided evenly, since small customers' demand varies. */
  static final double EVEN_BURST_FRACTION = 0.5;

  /**
   * Fraction of a window's limit that all instances together may admit before the others know of
   * the requests.
   */
  static final double UNCONFIRMED_FRACTION = 0.3;

  /**
   * Requests that each instance may admit in addition, since a small customer's requests come in
   * twos and threes by chance.
   */
  static final double EXTRA_UNCONFIRMED_REQUESTS = 1.3;

  /**
   * Fraction of a window's limit that bounds the sum of both over all instances, however many
   * instances there are.
   */
  static final double MAX_UNCONFIRMED_FRACTION = 0.5;

  /** Least number of instances that is assumed before the list of instances was read. */
  private static final int ASSUMED_INSTANCES = 20;

  /**
   * Fraction of an even share of the rate that is added to the demand of each instance, since the
   * demand of a small customer at one instance cannot be measured well.
   */
  private static final double ASSUMED_DEMAND_FRACTION = 0.25;

  /**
   * Least rate of new tokens that retry-after times assume, as a fraction of the customer's rate.
   */
  private static final double MIN_REFILL_FRACTION = 0.01;

  /** Demand below which heartbeats leave a customer out, in requests per second. */
  private static final double MIN_REPORTED_DEMAND_PER_SECOND = 0.05;

  private static final double NANOS_PER_SECOND = 1e9;

  private final FleetTable fleet;
  private final QuotaTolerance tolerance;
  private final Map<String, CustomerTokenBucket> buckets = new HashMap<>();
  private final Map<String, Double> demandFractionsBeforePartition = new HashMap<>();

  /** Creates a limiter that divides rates among the instances of the given fleet. */
  public CustomerRateLimiter(FleetTable fleet, QuotaTolerance tolerance) {
    this.fleet = fleet;
    this.tolerance = tolerance;
  }

  /**
   * Takes one token, if the request is within the customer's rate.
   *
   * <p>If a customer sends more than its rate, its requests of higher priority are admitted first:
   * those of lower priority leave a part of the bucket untouched.
   *
   * @param priority priority of the request's route; 0 is the highest
   * @return whether the request is admitted; always true for a customer without a limit
   */
  public boolean tryTake(CustomerPolicy customer, int priority, long nowNanos) {
    if (!customer.isLimited()) {
      return true;
    }
    return bucket(customer, nowNanos).tryTake(priority, nowNanos);
  }

  /** Gives back the token of an admitted request that did not run on any server. */
  public void giveBack(CustomerPolicy customer, long nowNanos) {
    CustomerTokenBucket bucket = buckets.get(customer.name());
    if (bucket != null) {
      bucket.giveBack(nowNanos);
    }
  }

  /** Returns the time until the next token, in milliseconds. */
  public long retryAfterMillis(CustomerPolicy customer, long nowNanos) {
    double minRatePerSecond = customer.requestsPerSecond() * MIN_REFILL_FRACTION;
    return bucket(customer, nowNanos).retryAfterMillis(minRatePerSecond);
  }

  /** Returns what a refusal was decided from, as {@code key=value} fields of a log line. */
  public String describe(CustomerPolicy customer, long nowNanos) {
    return String.format(
        Locale.ROOT,
        "customer=%s rate-per-second=%.1f %s",
        customer.name(),
        customer.requestsPerSecond(),
        bucket(customer, nowNanos).describe(nowNanos));
  }

  /** Updates the demands and divides the rates of the configured customers anew. */
  public void tick(SteeringConfig config, long nowNanos, long sinceLastTickNanos) {
    List<Heartbeat> others = fleet.recentHeartbeats(nowNanos);
    // What an instance admitted before it was started again is still in the window.
    long windowNanos = (long) (tolerance.windowSeconds() * NANOS_PER_SECOND);
    List<Heartbeat> earlierRuns = fleet.heartbeatsOfEarlierRuns(windowNanos, nowNanos);
    boolean mayBePartitioned = fleet.mayBePartitioned(nowNanos);
    for (CustomerPolicy customer : config.customers()) {
      CustomerTokenBucket bucket = bucket(customer, nowNanos);
      bucket.updateDemand(sinceLastTickNanos);
      bucket.confirmReports(fleet, nowNanos);
      double byDemand = demandFraction(customer, bucket, others);
      if (mayBePartitioned) {
        byDemand =
            Math.min(byDemand, demandFractionsBeforePartition.getOrDefault(customer.name(), 0.0));
      } else {
        demandFractionsBeforePartition.put(customer.name(), byDemand);
      }
      int hash = Hashes.intOf(customer.name());
      int admittedByOthers = admitted(hash, others) + admitted(hash, earlierRuns);
      bucket.setShare(share(customer, byDemand, admittedByOthers), nowNanos);
    }
  }

  private static int admitted(int customerHash, List<Heartbeat> heartbeats) {
    return heartbeats.stream()
        .mapToInt(heartbeat -> heartbeat.customerAdmitted().getOrDefault(customerHash, 0))
        .sum();
  }

  private CustomerTokenBucket.Share share(
      CustomerPolicy customer, double byDemand, int admittedByOthers) {
    double evenFraction =
        1.0 / Math.max(fleet.knownInstances(), fleet.isListRead() ? 1 : ASSUMED_INSTANCES);
    double rateFraction = EVEN_RATE_FRACTION * evenFraction + (1 - EVEN_RATE_FRACTION) * byDemand;
    double burstFraction =
        EVEN_BURST_FRACTION * evenFraction + (1 - EVEN_BURST_FRACTION) * byDemand;
    double rate = customer.requestsPerSecond();
    double burst = tolerance.toleratedBurst(rate, customer.burstRequests());
    double limitPerWindow = rate * tolerance.windowSeconds() + burst;
    return new CustomerTokenBucket.Share(
        rate * rateFraction,
        Math.max(1, burst * DIVIDED_BURST_FRACTION * burstFraction),
        limitPerWindow,
        admittedByOthers,
        fleet.isListRead() ? maxUnconfirmedRequests(limitPerWindow) : 0);
  }

  private int maxUnconfirmedRequests(double limitPerWindow) {
    double limit = limitPerWindow / fleet.knownInstances();
    double unconfirmed =
        Math.min(
            MAX_UNCONFIRMED_FRACTION * limit,
            UNCONFIRMED_FRACTION * limit + EXTRA_UNCONFIRMED_REQUESTS);
    return (int) Math.round(unconfirmed);
  }

  private double demandFraction(
      CustomerPolicy customer, CustomerTokenBucket bucket, List<Heartbeat> others) {
    boolean alone = fleet.isListRead() && fleet.knownInstances() == 1;
    if (others.isEmpty() && !alone) {
      return 0;
    }
    int hash = Hashes.intOf(customer.name());
    double assumed =
        ASSUMED_DEMAND_FRACTION * customer.requestsPerSecond() / fleet.knownInstances();
    double own = bucket.confirmedDemandPerSecond() + assumed;
    double total = own;
    for (Heartbeat heartbeat : others) {
      total += heartbeat.customerDemand().getOrDefault(hash, 0.0) + assumed;
    }
    return own / total;
  }

  /**
   * Returns the demand at this instance in requests per second, by hash of the customer's name, for
   * heartbeats.
   */
  public Map<Integer, Double> demandByCustomerHash() {
    Map<Integer, Double> demand = new HashMap<>();
    buckets.forEach(
        (name, bucket) -> {
          if (bucket.demandPerSecond() >= MIN_REPORTED_DEMAND_PER_SECOND) {
            demand.put(Hashes.intOf(name), bucket.demandPerSecond());
          }
        });
    return demand;
  }

  /**
   * Returns the number of requests that this instance admitted in the last window, by hash of the
   * customer's name. Call once for each heartbeat, as it is sent: the numbers count as reported.
   */
  public Map<Integer, Integer> reportAdmitted(long nowNanos) {
    Map<Integer, Integer> admitted = new HashMap<>();
    buckets.forEach(
        (name, bucket) -> {
          int count = bucket.recordReport(nowNanos);
          if (count > 0) {
            admitted.put(Hashes.intOf(name), count);
          }
        });
    return admitted;
  }

  private CustomerTokenBucket bucket(CustomerPolicy customer, long nowNanos) {
    return buckets.computeIfAbsent(
        customer.name(), name -> new CustomerTokenBucket(tolerance.windowSeconds(), nowNanos));
  }
}
