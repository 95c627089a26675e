package org.bambooarch.core.steering.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.bambooarch.core.steering.config.CallerLimits;
import org.bambooarch.core.steering.config.CustomerPolicy;
import org.bambooarch.core.steering.config.HomeRegions;
import org.bambooarch.core.steering.config.SteeringConfig;

/**
 * Ten instances that share the rate of one customer, with the heartbeats between them, on a
 * simulated clock.
 */
final class SimulatedFleet {

  static final int INSTANCES = 10;
  static final long TICK_MILLIS = 100;

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final QuotaTolerance TOLERANCE = new QuotaTolerance(5, 0.1, 20);

  final CustomerPolicy customer;
  final SteeringConfig config;
  private final List<FleetTable> tables = new ArrayList<>();
  final List<CustomerRateLimiter> limiters = new ArrayList<>();
  private final Deque<Long> admittedMillis = new ArrayDeque<>();
  int maxAdmittedInWindow;
  int refused;
  int asked;
  long nowMillis;

  /** Number of the instance that takes no callers because it is about to stop, or -1. */
  int leaving = -1;

  SimulatedFleet(double rate, double burst) {
    customer = new CustomerPolicy("kerala", Set.of(), 0, rate, burst, HomeRegions.ALL);
    config =
        new SteeringConfig(
            1, List.of(), List.of(), List.of(customer), new CallerLimits(1, 1, 1, 1));
    restart();
  }

  /** Kills all instances and starts them again without their state. */
  void restart() {
    tables.clear();
    limiters.clear();
    for (int i = 0; i < INSTANCES; i++) {
      tables.add(new FleetTable(identity(i, 1)));
      limiters.add(new CustomerRateLimiter(tables.get(i), TOLERANCE));
    }
    tables.forEach(this::list);
  }

  /** Restarts a stopped instance as a new incarnation, without its earlier state. */
  void restart(int instance) {
    long incarnation = tables.get(instance).self().incarnation() + 1;
    tables.set(instance, new FleetTable(identity(instance, incarnation)));
    limiters.set(instance, new CustomerRateLimiter(tables.get(instance), TOLERANCE));
    list(tables.get(instance));
  }

  private void list(FleetTable table) {
    tables.forEach(other -> table.onListed(other.self(), nowNanos()));
    table.onListRead(nowNanos());
  }

  private static InstanceIdentity identity(int instance, long incarnation) {
    return new InstanceIdentity("entry-" + instance, incarnation, "r", "dc", "a:1", "a:2");
  }

  /** Decides which heartbeats arrive. */
  interface Link {
    boolean delivers(int from, int to);
  }

  /** Advances the clock by one tick; heartbeats are sent every 500 ms. */
  void tick(Link link) {
    nowMillis += TICK_MILLIS;
    if (nowMillis % 500 == 0) {
      exchangeHeartbeats(link);
    }
    for (CustomerRateLimiter limiter : limiters) {
      limiter.tick(config, nowNanos(), TICK_MILLIS * NANOS_PER_MILLI);
    }
  }

  private void exchangeHeartbeats(Link link) {
    for (int from = 0; from < INSTANCES; from++) {
      Heartbeat heartbeat =
          new Heartbeat(
              tables.get(from).self(),
              from != leaving,
              0,
              false,
              1,
              ListVersions.NONE,
              limiters.get(from).demandByCustomerHash(),
              limiters.get(from).reportAdmitted(nowNanos()),
              Map.of(),
              Map.of(),
              List.of());
      for (int to = 0; to < INSTANCES; to++) {
        if (from != to && link.delivers(from, to)) {
          tables.get(to).onHeartbeat(heartbeat, nowNanos());
        }
      }
    }
  }

  /** Sends a random number of requests for one tick, each to a random instance. */
  void askAnyInstance(Random random, double perSecond) {
    int requests = poisson(random, perSecond * TICK_MILLIS / 1_000);
    for (int n = 0; n < requests; n++) {
      ask(random.nextInt(INSTANCES));
    }
  }

  /** Returns a Poisson-distributed random number with this mean. */
  static int poisson(Random random, double mean) {
    double limit = Math.exp(-mean);
    double product = random.nextDouble();
    int count = 0;
    while (product > limit) {
      product *= random.nextDouble();
      count++;
    }
    return count;
  }

  /** Sends a request to an instance and counts whether it was admitted. */
  void ask(int instance) {
    asked++;
    if (!limiters.get(instance).tryTake(customer, 0, nowNanos())) {
      refused++;
      return;
    }
    admittedMillis.addLast(nowMillis);
    while (admittedMillis.getFirst() <= nowMillis - 5_000) {
      admittedMillis.removeFirst();
    }
    maxAdmittedInWindow = Math.max(maxAdmittedInWindow, admittedMillis.size());
  }

  long nowNanos() {
    return nowMillis * NANOS_PER_MILLI;
  }

  /** Returns the limit of requests in 5 s with the tolerance: 10 % and 20 requests. */
  double maxAllowedInWindow() {
    double limit = customer.requestsPerSecond() * 5 + customer.burstRequests();
    return limit * 1.1 + 20;
  }
}
