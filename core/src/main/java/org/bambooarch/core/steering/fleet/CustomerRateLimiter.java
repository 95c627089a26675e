package org.bambooarch.core.steering.fleet;

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
 * instance that fell silent keeps its part for {@link FleetTable#POSSIBLY_ALIVE_NANOS}, on either
 * side of a cut, and meanwhile no part grows, so that the shares of both sides still add up to the
 * rate. An instance that has heard nobody for that long uses its even part only.
 *
 * <p>A share of a small customer is less than one request, and its requests come unevenly. While
 * the fleet has admitted few of a customer's requests in the last window, an instance may therefore
 * admit a few more until the others have heard of them.
 *
 * <p>Not thread-safe.
 */
public final class CustomerRateLimiter {

  /** Part of a rate that is divided evenly: what an instance keeps while it is cut off. */
  static final double EVEN_RATE_FRACTION = 0.2;

  /** Part of the burst that is divided among the instances; the rest covers differing views. */
  static final double DIVIDED_BURST_FRACTION = 0.6;

  /** Part of the burst that is divided evenly, since small customers' demand comes unevenly. */
  static final double EVEN_BURST_FRACTION = 0.5;

  /** Part of a window's limit that all instances may admit before others have heard of it. */
  static final double UNCONFIRMED_FRACTION = 0.3;

  /**
   * Requests that each instance may admit on top, since a small customer's come in pairs and threes
   * by chance.
   */
  static final double EXTRA_UNCONFIRMED_REQUESTS = 1.3;

  /** Part of a window's limit that bounds both, however many instances there are. */
  static final double MAX_UNCONFIRMED_FRACTION = 0.5;

  /** Instances that are assumed before the list of instances was read. */
  private static final int ASSUMED_INSTANCES = 20;

  /**
   * Part of an even share that counts as demand at each instance, since the demand of a small
   * customer at one instance cannot be measured well.
   */
  private static final double ASSUMED_DEMAND_FRACTION = 0.25;

  /** Part of a rate at which tokens are taken to come at least, for the time to return. */
  private static final double MIN_REFILL_FRACTION = 0.01;

  /** Demand below which heartbeats leave a customer out, in requests a second. */
  private static final double MIN_REPORTED_DEMAND_PER_SECOND = 0.05;

  private final FleetTable fleet;
  private final QuotaTolerance tolerance;
  private final Map<String, CustomerTokenBucket> buckets = new HashMap<>();
  private final Map<String, Double> demandFractionsBeforePartition = new HashMap<>();

  /** Creates shares that follow the given fleet. */
  public CustomerRateLimiter(FleetTable fleet, QuotaTolerance tolerance) {
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
    return bucket(customer, nowNanos).tryTake(priority, nowNanos);
  }

  /** Gives the token of a request back that ran nowhere. */
  public void giveBack(CustomerPolicy customer, long nowNanos) {
    CustomerTokenBucket bucket = buckets.get(customer.name());
    if (bucket != null) {
      bucket.giveBack(nowNanos);
    }
  }

  /** Returns when the next token is there, in milliseconds from now. */
  public long retryAfterMillis(CustomerPolicy customer, long nowNanos) {
    double minRatePerSecond = customer.requestsPerSecond() * MIN_REFILL_FRACTION;
    return bucket(customer, nowNanos).retryAfterMillis(minRatePerSecond);
  }

  /** Returns what a refusal was decided from, as fields of a log line. */
  public String describe(CustomerPolicy customer, long nowNanos) {
    return String.format(
        Locale.ROOT,
        "customer=%s rate-per-second=%.1f %s",
        customer.name(),
        customer.requestsPerSecond(),
        bucket(customer, nowNanos).describe(nowNanos));
  }

  /** Measures demand and divides the rates anew. */
  public void tick(SteeringConfig config, long nowNanos, long sinceLastTickNanos) {
    List<Heartbeat> others = fleet.recentHeartbeats(nowNanos);
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
      bucket.setShare(share(customer, byDemand, others), nowNanos);
    }
  }

  private CustomerTokenBucket.Share share(
      CustomerPolicy customer, double byDemand, List<Heartbeat> others) {
    double evenFraction =
        1.0 / Math.max(fleet.knownInstances(), fleet.isListRead() ? 1 : ASSUMED_INSTANCES);
    double rateFraction = EVEN_RATE_FRACTION * evenFraction + (1 - EVEN_RATE_FRACTION) * byDemand;
    double burstFraction =
        EVEN_BURST_FRACTION * evenFraction + (1 - EVEN_BURST_FRACTION) * byDemand;
    double rate = customer.requestsPerSecond();
    double burst = tolerance.toleratedBurst(rate, customer.burstRequests());
    double limitPerWindow = rate * tolerance.windowSeconds() + burst;
    int hash = Hashes.intOf(customer.name());
    int admittedByOthers =
        others.stream().mapToInt(h -> h.customerAdmitted().getOrDefault(hash, 0)).sum();
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

  /** Returns the demand at this instance by hash of the customer's name, for heartbeats. */
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
   * Returns the requests that this instance admitted in the last window, by hash of the customer's
   * name, for a heartbeat that is sent now.
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
