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

  /** Part of a window's limit that all instances may admit before others have heard of it. */
  static final double UNKNOWN_PART = 0.3;

  /**
   * Requests that each instance may admit on top, since a small customer's come in pairs and threes
   * by chance.
   */
  static final double UNKNOWN_BY_CHANCE = 1.3;

  /** Part of a window's limit that bounds both, however many instances there are. */
  static final double MOST_UNKNOWN_PART = 0.5;

  /** Instances that are assumed before the list of instances was read. */
  private static final int UNLISTED_INSTANCES = 20;

  /**
   * Part of an even share that counts as demand at each instance, since the demand of a small
   * customer at one instance cannot be measured well.
   */
  private static final double PRESUMED_DEMAND_PART = 0.25;

  /** Part of a rate at which tokens are taken to come at least, for the time to return. */
  private static final double LEAST_RETURN_PART = 0.01;

  /** Demand below which heartbeats leave a customer out, in requests a second. */
  private static final double LEAST_TOLD_DEMAND = 0.05;

  private final FleetTable fleet;
  private final QuotaTolerance tolerance;
  private final Map<String, CustomerBucket> buckets = new HashMap<>();
  private final Map<String, Double> uncutDemandParts = new HashMap<>();

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
    return bucket(customer, nowNanos).tryTake(priority, nowNanos);
  }

  /** Gives the token of a request back that ran nowhere. */
  public void giveBack(CustomerPolicy customer, long nowNanos) {
    CustomerBucket bucket = buckets.get(customer.name());
    if (bucket != null) {
      bucket.giveBack(nowNanos);
    }
  }

  /** Returns when the next token is there, in milliseconds from now. */
  public long retryAfterMillis(CustomerPolicy customer, long nowNanos) {
    double leastRatePerSecond = customer.requestsPerSecond() * LEAST_RETURN_PART;
    return bucket(customer, nowNanos).retryAfterMillis(leastRatePerSecond);
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
    List<Heartbeat> others = fleet.remembered(nowNanos);
    boolean mayBeCut = fleet.mayBeCut(nowNanos);
    for (CustomerPolicy customer : config.customers()) {
      CustomerBucket bucket = bucket(customer, nowNanos);
      bucket.measure(sinceLastTickNanos);
      bucket.confirm(fleet, nowNanos);
      double byDemand = demandPart(customer, bucket, others);
      if (mayBeCut) {
        byDemand = Math.min(byDemand, uncutDemandParts.getOrDefault(customer.name(), 0.0));
      } else {
        uncutDemandParts.put(customer.name(), byDemand);
      }
      bucket.divide(share(customer, byDemand, others), nowNanos);
    }
  }

  private CustomerBucket.Share share(
      CustomerPolicy customer, double byDemand, List<Heartbeat> others) {
    double even = 1.0 / Math.max(fleet.knownInstances(), fleet.isListed() ? 1 : UNLISTED_INSTANCES);
    double ratePart = EVEN_PART * even + (1 - EVEN_PART) * byDemand;
    double burstPart = EVEN_BURST_PART * even + (1 - EVEN_BURST_PART) * byDemand;
    double rate = customer.requestsPerSecond();
    double burst = tolerance.burstOf(rate, customer.burstRequests());
    double limitPerWindow = rate * tolerance.windowSeconds() + burst;
    int hash = Hashes.intOf(customer.name());
    int admittedByOthers =
        others.stream().mapToInt(h -> h.customerAdmitted().getOrDefault(hash, 0)).sum();
    return new CustomerBucket.Share(
        rate * ratePart,
        Math.max(1, burst * BURST_PART * burstPart),
        limitPerWindow,
        admittedByOthers,
        fleet.isListed() ? unknownPart(limitPerWindow) : 0);
  }

  private int unknownPart(double limitPerWindow) {
    double limit = limitPerWindow / fleet.knownInstances();
    double unknown = Math.min(MOST_UNKNOWN_PART * limit, UNKNOWN_PART * limit + UNKNOWN_BY_CHANCE);
    return (int) Math.round(unknown);
  }

  private double demandPart(
      CustomerPolicy customer, CustomerBucket bucket, List<Heartbeat> others) {
    boolean alone = fleet.isListed() && fleet.knownInstances() == 1;
    if (others.isEmpty() && !alone) {
      return 0;
    }
    int hash = Hashes.intOf(customer.name());
    double presumed = PRESUMED_DEMAND_PART * customer.requestsPerSecond() / fleet.knownInstances();
    double own = bucket.knownDemandPerSecond() + presumed;
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
          if (bucket.demandPerSecond() >= LEAST_TOLD_DEMAND) {
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
          int count = bucket.report(nowNanos);
          if (count > 0) {
            admitted.put(Hashes.intOf(name), count);
          }
        });
    return admitted;
  }

  private CustomerBucket bucket(CustomerPolicy customer, long nowNanos) {
    return buckets.computeIfAbsent(
        customer.name(), name -> new CustomerBucket(tolerance.windowSeconds(), nowNanos));
  }
}
