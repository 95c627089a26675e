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
 * Runs the budgets of several instances against random traffic and asserts the invariants.
 *
 * <p>Every admission is checked against one full bucket per customer: whatever that bucket would
 * not admit breaks the bound of burst + rate x T in some window. At every check of the shares, the
 * usable ones must not exceed the whole.
 */
final class FleetTrial {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long RETRY_NANOS = 25_000_000L;
  private static final long CHECK_NANOS = 10_000_000L;
  private static final long WANDER_NANOS = 10 * NANOS_PER_SECOND;
  private static final long NEAR_NANOS = 1_000_000L;
  private static final long FAR_NANOS = 55_000_000L;
  private static final int REGIONS = 3;

  private final SplittableRandom random;
  private final BudgetSettings settings;
  private final Scenario scenario;
  private final EventQueue events = new EventQueue(ManualClock.startingAtZero());
  private final FakeNetwork network;
  private final FakeEpochStore store;
  private final List<FleetNode> nodes = new ArrayList<>();
  private final Map<String, CustomerTally> tallies = new TreeMap<>();
  private final Map<String, TokenBucket> bounds = new HashMap<>();
  private final Map<String, TokenBucket> ideals = new HashMap<>();
  private final Map<String, List<TokenBucket>> statics = new HashMap<>();
  private long incarnations;
  private boolean measuring;

  FleetTrial(long seed, int instances, BudgetSettings settings, Scenario scenario) {
    this.random = new SplittableRandom(seed);
    this.settings = settings;
    this.scenario = scenario;
    this.network = new FakeNetwork(events, random.split(), NEAR_NANOS, FAR_NANOS);
    this.store = new FakeEpochStore(events, random.split());
    for (int i = 0; i < instances; i++) {
      nodes.add(newNode("entry-" + i, i));
    }
    for (BudgetResource limits : scenario.resources()) {
      double rate = limits.quantaPerSecond();
      tallies.put(limits.name(), new CustomerTally());
      bounds.put(limits.name(), TokenBucket.full(rate, limits.burstQuanta()));
      ideals.put(limits.name(), TokenBucket.full(rate, limits.burstQuanta()));
      List<TokenBucket> parts = new ArrayList<>();
      for (int i = 0; i < instances; i++) {
        double burst = Math.max(1, (double) limits.burstQuanta() / instances);
        parts.add(TokenBucket.full(rate / instances, burst));
      }
      statics.put(limits.name(), parts);
    }
    events.after(CHECK_NANOS, this::checkShares);
  }

  private FleetNode newNode(String name, int index) {
    incarnations++;
    MemberId id = new MemberId(name, incarnations << 20);
    return new FleetNode(
        id,
        index % REGIONS,
        settings,
        scenario.resources(),
        events,
        network,
        store,
        random.nextLong());
  }

  EventQueue events() {
    return events;
  }

  FakeNetwork network() {
    return network;
  }

  FakeEpochStore store() {
    return store;
  }

  List<FleetNode> nodes() {
    return nodes;
  }

  Map<String, CustomerTally> tallies() {
    return tallies;
  }

  /** Starts a fresh process in the place of a dead one. */
  void replace(int index) {
    FleetNode old = nodes.get(index);
    if (old.isDead()) {
      nodes.set(index, newNode(old.name(), index));
    }
  }

  void runSeconds(double seconds) {
    events.runUntil(events.nowNanos() + (long) (seconds * NANOS_PER_SECOND));
  }

  /** Starts the traffic and counts it from now on. */
  void startTraffic() {
    measuring = true;
    for (Scenario.Load load : scenario.loads()) {
      scheduleArrival(load);
    }
  }

  void stopTraffic() {
    measuring = false;
  }

  private void scheduleArrival(Scenario.Load load) {
    double gapSeconds = -Math.log(1 - random.nextDouble()) / load.demandPerSecond();
    events.after((long) (gapSeconds * NANOS_PER_SECOND), () -> arrive(load));
  }

  private void arrive(Scenario.Load load) {
    if (!measuring) {
      return;
    }
    scheduleArrival(load);
    int index = chooseNode(load.spread());
    if (index < 0) {
      return;
    }
    String customer = load.limits().name();
    CustomerTally tally = tallies.get(customer);
    tally.sent++;
    if (!ideals.get(customer).tryTake(events.nowNanos())) {
      tally.idealRefused++;
    }
    if (!statics.get(customer).get(index).tryTake(events.nowNanos())) {
      tally.staticRefused++;
    }
    FleetNode node = nodes.get(index);
    BudgetDecision decision = node.budgets().tryAdmit(customer, 1);
    settle(node, customer, decision, events.nowNanos());
  }

  private int chooseNode(Scenario.Spread spread) {
    int preferred =
        switch (spread) {
          case UNIFORM -> random.nextInt(nodes.size());
          case ONE_INSTANCE -> 0;
          case WANDERING -> (int) (events.nowNanos() / WANDER_NANOS * 7 % nodes.size());
        };
    for (int i = 0; i < nodes.size(); i++) {
      int index = (preferred + i) % nodes.size();
      if (nodes.get(index).serves()) {
        return index;
      }
    }
    return -1;
  }

  private void settle(FleetNode node, String customer, BudgetDecision decision, long arrivedNanos) {
    CustomerTally tally = tallies.get(customer);
    long waitedNanos = events.nowNanos() - arrivedNanos;
    switch (decision) {
      case ADMITTED -> admitted(customer, tally, waitedNanos);
      case WAIT -> {
        if (waitedNanos + RETRY_NANOS > node.budgets().maxWaitNanos()) {
          node.budgets().abandonWait(customer, 1);
          tally.refused++;
        } else {
          events.after(RETRY_NANOS, () -> retry(node, customer, arrivedNanos));
        }
      }
      case NOT_CONFIRMED -> {
        tally.refused++;
        tally.unconfirmed++;
      }
      default -> tally.refused++;
    }
  }

  private void retry(FleetNode node, String customer, long arrivedNanos) {
    if (node.serves()) {
      settle(node, customer, node.budgets().retryAdmit(customer, 1), arrivedNanos);
    } else {
      node.budgets().abandonWait(customer, 1);
      tallies.get(customer).refused++;
    }
  }

  private void admitted(String customer, CustomerTally tally, long waitedNanos) {
    tally.admitted++;
    if (waitedNanos > 0) {
      tally.waited++;
      tally.waitedNanosMax = Math.max(tally.waitedNanosMax, waitedNanos);
    }
    if (!bounds.get(customer).tryTake(events.nowNanos())) {
      tally.excessAdmitted++;
      throw new InvariantException(
          "expected at most burst + rate x T admissions of %s but one more was admitted at %d ns"
              .formatted(customer, events.nowNanos()));
    }
  }

  private void checkShares() {
    events.after(CHECK_NANOS, this::checkShares);
    Map<String, ShareAmount> sums = new TreeMap<>();
    for (FleetNode node : nodes) {
      BudgetDump dump = node.dump();
      if (node.isDead() || dump.usableForNanos() <= 0) {
        continue;
      }
      for (BudgetDump.Share share : dump.shares()) {
        sums.merge(share.resource(), share.held(), ShareAmount::plus);
      }
    }
    sums.forEach(this::checkSum);
  }

  private void checkSum(String resource, ShareAmount sum) {
    if (sum.rateUnits() > ShareAmount.WHOLE || sum.capacityUnits() > ShareAmount.WHOLE) {
      throw new InvariantException(
          "expected shares of at most %d units but was %s of %s at %d ns"
              .formatted(ShareAmount.WHOLE, sum, resource, events.nowNanos()));
    }
  }

  /** Returns the sum of what the living instances hold of a resource. */
  ShareAmount heldByLiving(String resource) {
    ShareAmount sum = ShareAmount.NONE;
    for (FleetNode node : nodes) {
      if (node.isDead()) {
        continue;
      }
      for (BudgetDump.Share share : node.dump().shares()) {
        sum = share.resource().equals(resource) ? sum.plus(share.held()) : sum;
      }
    }
    return sum;
  }
}
