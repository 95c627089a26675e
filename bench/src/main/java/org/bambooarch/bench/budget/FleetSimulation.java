package org.bambooarch.bench.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.bambooarch.core.budget.BudgetDecision;
import org.bambooarch.core.budget.BudgetDump;
import org.bambooarch.core.budget.BudgetResource;
import org.bambooarch.core.budget.BudgetSettings;
import org.bambooarch.core.budget.MemberId;
import org.bambooarch.core.budget.ShareAmount;
import org.bambooarch.core.time.ManualClock;

/**
 * Simulates several instances that share the customers' budgets under random traffic, and checks
 * two invariants. {@link #runSeconds} throws {@link InvariantViolationException} if one is
 * violated.
 *
 * <ul>
 *   <li>In any time window T, the instances together admit at most burst + rate x T requests of a
 *       customer. Every admission is checked against one token bucket for each customer that starts
 *       full: an admission that this bucket refuses exceeds the bound in some window.
 *   <li>The shares of a resource that live instances with a valid lease hold never exceed the whole
 *       resource; checked every 10 ms.
 * </ul>
 */
final class FleetSimulation {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long RETRY_INTERVAL_NANOS = 25_000_000L;
  private static final long CHECK_INTERVAL_NANOS = 10_000_000L;
  private static final long ROTATION_NANOS = 10 * NANOS_PER_SECOND;
  private static final long SAME_REGION_DELAY_NANOS = 1_000_000L;
  private static final long CROSS_REGION_DELAY_NANOS = 55_000_000L;
  private static final int REGIONS = 3;

  private final SplittableRandom random;
  private final BudgetSettings settings;
  private final Workload workload;
  private final FleetEventQueue events = new FleetEventQueue(ManualClock.startingAtZero());
  private final FakeNetwork network;
  private final FakeEpochStore store;
  private final List<FleetInstance> instances = new ArrayList<>();
  private final Map<String, CustomerCounts> countsByCustomer = new TreeMap<>();
  private final Map<String, TokenBucket> boundBuckets = new HashMap<>();
  private final Map<String, TokenBucket> idealBuckets = new HashMap<>();
  private final Map<String, List<TokenBucket>> staticBuckets = new HashMap<>();
  private long incarnations;
  private boolean trafficRunning;

  FleetSimulation(long seed, int instanceCount, BudgetSettings settings, Workload workload) {
    this.random = new SplittableRandom(seed);
    this.settings = settings;
    this.workload = workload;
    this.network =
        new FakeNetwork(events, random.split(), SAME_REGION_DELAY_NANOS, CROSS_REGION_DELAY_NANOS);
    this.store = new FakeEpochStore(events, random.split());
    for (int i = 0; i < instanceCount; i++) {
      instances.add(newInstance("entry-" + i, i));
    }
    for (BudgetResource limits : workload.resources()) {
      double rate = limits.quantaPerSecond();
      countsByCustomer.put(limits.name(), new CustomerCounts());
      boundBuckets.put(limits.name(), TokenBucket.full(rate, limits.burstQuanta()));
      idealBuckets.put(limits.name(), TokenBucket.full(rate, limits.burstQuanta()));
      List<TokenBucket> parts = new ArrayList<>();
      for (int i = 0; i < instanceCount; i++) {
        double burst = Math.max(1, (double) limits.burstQuanta() / instanceCount);
        parts.add(TokenBucket.full(rate / instanceCount, burst));
      }
      staticBuckets.put(limits.name(), parts);
    }
    events.after(CHECK_INTERVAL_NANOS, this::checkShares);
  }

  private FleetInstance newInstance(String name, int index) {
    incarnations++;
    MemberId id = new MemberId(name, incarnations << 20);
    return new FleetInstance(
        id,
        index % REGIONS,
        settings,
        workload.resources(),
        events,
        network,
        store,
        random.nextLong());
  }

  FleetEventQueue events() {
    return events;
  }

  FakeNetwork network() {
    return network;
  }

  FakeEpochStore store() {
    return store;
  }

  List<FleetInstance> instances() {
    return instances;
  }

  Map<String, CustomerCounts> countsByCustomer() {
    return countsByCustomer;
  }

  /** Starts a new process under the name of a dead one; does nothing if the process is alive. */
  void replaceIfDead(int index) {
    FleetInstance previous = instances.get(index);
    if (previous.isDead()) {
      instances.set(index, newInstance(previous.name(), index));
    }
  }

  void runSeconds(double seconds) {
    events.runUntil(events.nowNanos() + (long) (seconds * NANOS_PER_SECOND));
  }

  /** Starts the traffic and its counts; requests arrive as a Poisson process. */
  void startTraffic() {
    trafficRunning = true;
    for (Workload.CustomerLoad load : workload.loads()) {
      scheduleArrival(load);
    }
  }

  void stopTraffic() {
    trafficRunning = false;
  }

  private void scheduleArrival(Workload.CustomerLoad load) {
    double secondsToNextArrival = -Math.log(1 - random.nextDouble()) / load.demandPerSecond();
    events.after((long) (secondsToNextArrival * NANOS_PER_SECOND), () -> onArrival(load));
  }

  private void onArrival(Workload.CustomerLoad load) {
    if (!trafficRunning) {
      return;
    }
    scheduleArrival(load);
    int index = chooseInstance(load.selection());
    if (index < 0) {
      return;
    }
    String customer = load.limits().name();
    CustomerCounts counts = countsByCustomer.get(customer);
    counts.sent++;
    if (!idealBuckets.get(customer).tryTake(events.nowNanos())) {
      counts.idealRefused++;
    }
    if (!staticBuckets.get(customer).get(index).tryTake(events.nowNanos())) {
      counts.staticRefused++;
    }
    FleetInstance instance = instances.get(index);
    BudgetDecision decision = instance.budgets().tryAdmit(customer, 1);
    applyDecision(instance, customer, decision, events.nowNanos());
  }

  private int chooseInstance(Workload.InstanceSelection selection) {
    int preferred =
        switch (selection) {
          case UNIFORM -> random.nextInt(instances.size());
          case ONE_INSTANCE -> 0;
          case ROTATING -> (int) (events.nowNanos() / ROTATION_NANOS * 7 % instances.size());
        };
    for (int i = 0; i < instances.size(); i++) {
      int index = (preferred + i) % instances.size();
      if (instances.get(index).acceptsRequests()) {
        return index;
      }
    }
    return -1;
  }

  private void applyDecision(
      FleetInstance instance, String customer, BudgetDecision decision, long arrivedNanos) {
    CustomerCounts counts = countsByCustomer.get(customer);
    long waitedNanos = events.nowNanos() - arrivedNanos;
    switch (decision) {
      case ADMITTED -> recordAdmission(customer, counts, waitedNanos);
      case WAIT -> {
        if (waitedNanos + RETRY_INTERVAL_NANOS > instance.budgets().maxWaitNanos()) {
          instance.budgets().abandonWait(customer, 1);
          counts.refused++;
        } else {
          events.after(RETRY_INTERVAL_NANOS, () -> retry(instance, customer, arrivedNanos));
        }
      }
      case NOT_CONFIRMED -> {
        counts.refused++;
        counts.unconfirmed++;
      }
      default -> counts.refused++;
    }
  }

  private void retry(FleetInstance instance, String customer, long arrivedNanos) {
    if (instance.acceptsRequests()) {
      applyDecision(instance, customer, instance.budgets().retryAdmit(customer, 1), arrivedNanos);
    } else {
      instance.budgets().abandonWait(customer, 1);
      countsByCustomer.get(customer).refused++;
    }
  }

  private void recordAdmission(String customer, CustomerCounts counts, long waitedNanos) {
    counts.admitted++;
    if (waitedNanos > 0) {
      counts.waited++;
      counts.longestWaitNanos = Math.max(counts.longestWaitNanos, waitedNanos);
    }
    if (!boundBuckets.get(customer).tryTake(events.nowNanos())) {
      counts.excessAdmitted++;
      throw new InvariantViolationException(
          "expected at most burst + rate x T admissions of %s but one more was admitted at %d ns"
              .formatted(customer, events.nowNanos()));
    }
  }

  private void checkShares() {
    events.after(CHECK_INTERVAL_NANOS, this::checkShares);
    Map<String, ShareAmount> sums = new TreeMap<>();
    for (FleetInstance instance : instances) {
      BudgetDump dump = instance.dump();
      if (instance.isDead() || dump.usableForNanos() <= 0) {
        continue;
      }
      for (BudgetDump.Share share : dump.shares()) {
        sums.merge(share.resource(), share.held(), ShareAmount::plus);
      }
    }
    sums.forEach(this::checkSumAtMostWhole);
  }

  private void checkSumAtMostWhole(String resource, ShareAmount sum) {
    if (sum.rateUnits() > ShareAmount.WHOLE || sum.capacityUnits() > ShareAmount.WHOLE) {
      throw new InvariantViolationException(
          "expected usable shares of at most %d units in total but found %s of %s at %d ns"
              .formatted(ShareAmount.WHOLE, sum, resource, events.nowNanos()));
    }
  }

  /** Returns the sum of the shares of a resource that the live instances hold, usable or not. */
  ShareAmount sharesHeldByLiveInstances(String resource) {
    ShareAmount sum = ShareAmount.NONE;
    for (FleetInstance instance : instances) {
      if (instance.isDead()) {
        continue;
      }
      for (BudgetDump.Share share : instance.dump().shares()) {
        sum = share.resource().equals(resource) ? sum.plus(share.held()) : sum;
      }
    }
    return sum;
  }
}
