package org.bambooarch.bench.experiment;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.bambooarch.core.inventory.DrainRule;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.routing.TargetReport;
import org.bambooarch.core.time.ManualClock;

/**
 * One open-loop simulation run of 26 s of simulated time, for one policy and one scenario.
 *
 * <p>Arrivals do not wait for answers, so a slow policy cannot reduce its own load. Requests that
 * arrive in the first 3 s or the last 4 s are not measured.
 */
final class Simulation {

  static final int DURATION_SECONDS = 26;
  static final long NANOS_PER_SECOND = 1_000_000_000L;

  private static final int WARM_UP_SECONDS = 3;
  private static final int COOL_DOWN_SECONDS = 4;
  private static final long TICK_INTERVAL_NANOS = 50_000_000L;
  private static final long DISPATCH_INTERVAL_NANOS = 5_000_000L;
  private static final int AGGRESSOR_INDEX = 3;
  private static final double HOME_REGION_SHARE = 0.6;

  final ManualClock clock = ManualClock.startingAtZero();
  final EventQueue events = new EventQueue(clock);
  final Results results;
  final Random random;
  final Deployment deployment;
  final Scenario scenario;
  final Network network;
  final Fleet fleet;
  final FakeTarget[] targets;
  private final Inventory inventory;
  private final Callers callers;
  private final RateLimit rateLimit;
  private final RequestLifecycle lifecycle;
  private final RegionMeter regionMeter;

  Simulation(Deployment deployment, Scenario scenario, Policy policy, long seed) {
    this.deployment = deployment;
    this.scenario = scenario;
    random = new Random(seed);
    inventory = deployment.inventory(scenario.load());
    results = new Results(inventory.customers().size());
    network = new Network(deployment, DURATION_SECONDS * NANOS_PER_SECOND);
    callers = new Callers(inventory.customers().size(), deployment.regions().size(), random);
    rateLimit = new RateLimit(inventory.customers());
    fleet = new Fleet(deployment, scenario, policy, callerBytesPerSecond(), clock, random);
    targets = new FakeTarget[inventory.servers().size()];
    for (int index = 0; index < targets.length; index++) {
      Server server = inventory.servers().get(index);
      targets[index] = new FakeTarget(server.slots(), network.regionOf(server.dataCentre()));
    }
    regionMeter = new RegionMeter(deployment.regions().size(), targets);
    lifecycle = new RequestLifecycle(this);
  }

  Results run() {
    for (int instance = 0; instance < fleet.size(); instance++) {
      fleet.start(instance, inventory);
    }
    fleet.publishInstances();
    scheduleArrivals();
    events.after(TICK_INTERVAL_NANOS, this::tick);
    events.after(DISPATCH_INTERVAL_NANOS, this::dispatchWaiting);
    events.after(NANOS_PER_SECOND, this::sendReports);
    new ScheduledFaultInjector(this).schedule();
    events.runUntil(DURATION_SECONDS * NANOS_PER_SECOND);
    results.windowsOverCap = network.windowsOverCap();
    results.peakLinkUtilization = network.peakUtilization();
    results.peakRegionUtilization = regionMeter.peakUtilization();
    return results;
  }

  boolean isMeasured(Request request) {
    long start = WARM_UP_SECONDS * NANOS_PER_SECOND;
    long end = (DURATION_SECONDS - COOL_DOWN_SECONDS) * NANOS_PER_SECOND;
    return request.arrivedNanos >= start && request.arrivedNanos < end;
  }

  /** Replaces the drain rules of all live instances by the given ones. */
  void applyDrainRules(DrainRule... rules) {
    Inventory changed = deployment.inventory(scenario.load(), rules);
    for (int instance = 0; instance < fleet.size(); instance++) {
      String region = deployment.regions().get(fleet.regionOf(instance));
      fleet.drained[instance] = Arrays.stream(rules).anyMatch(rule -> rule.name().equals(region));
      if (fleet.alive[instance]) {
        fleet.strategies[instance].reconfigure(changed);
      }
    }
    fleet.publishInstances();
  }

  Inventory inventory() {
    return inventory;
  }

  private long callerBytesPerSecond() {
    double perRequest = 0;
    for (int route = 0; route < RequestMix.routes().size(); route++) {
      perRequest += RequestMix.share(route) * RequestMix.routes().get(route).expectedAnswerBytes();
    }
    double total = scenario.load() * deployment.capacityPerSecond() * perRequest;
    return (long) (total / callers.count());
  }

  private void scheduleArrivals() {
    for (int customer = 0; customer < inventory.customers().size(); customer++) {
      double demand = Deployment.DEMAND_SHARES[customer] * deployment.capacityPerSecond();
      demand *=
          scenario.load() * (customer == AGGRESSOR_INDEX ? scenario.aggressorDemandFactor() : 1);
      for (int route = 0; route < RequestMix.routes().size(); route++) {
        double factor = route == RequestMix.BULK ? scenario.bulkFactor() : 1;
        scheduleNext(customer, route, demand * RequestMix.share(route) * factor);
      }
    }
  }

  private void scheduleNext(int customer, int route, double perSecond) {
    long gapNanos = (long) (random.nextExponential() / perSecond * NANOS_PER_SECOND);
    events.after(
        gapNanos,
        () -> {
          onArrival(customer, route);
          scheduleNext(customer, route, perSecond);
        });
  }

  private void onArrival(int customer, int route) {
    int regions = deployment.regions().size();
    int home = customer % regions;
    int region = random.nextDouble() < HOME_REGION_SHARE ? home : random.nextInt(regions);
    int service = random.nextInt(deployment.services().size());
    Request request = new Request(customer, service, route, region, events.nowNanos());
    if (!rateLimit.tryTake(customer, events.nowNanos())) {
      return;
    }
    int caller = callers.randomCaller(customer, region);
    int instance = callers.instanceOf(caller, region, fleet, events.nowNanos());
    if (isMeasured(request)) {
      results.offered[customer]++;
    }
    if (instance == Callers.NO_INSTANCE) {
      lifecycle.recordUnreachable(request);
      return;
    }
    events.after(
        network.callerDelayNanos(region, fleet.regionOf(instance)),
        () -> lifecycle.receive(instance, request));
  }

  private void tick() {
    fleet.tick();
    regionMeter.sample();
    events.after(TICK_INTERVAL_NANOS, this::tick);
  }

  private void dispatchWaiting() {
    for (int instance = 0; instance < fleet.size(); instance++) {
      if (fleet.alive[instance]) {
        fleet.strategies[instance].dispatchWaiting();
        lifecycle.sendReadyAndRefuseExpired(instance);
      }
    }
    events.after(DISPATCH_INTERVAL_NANOS, this::dispatchWaiting);
  }

  private void sendReports() {
    for (int index = 0; index < targets.length; index++) {
      FakeTarget target = targets[index];
      if (target.dead) {
        continue;
      }
      boolean reportsIdle =
          target.failing || scenario.faults().stream().anyMatch(Simulation::isFalseReports);
      int inUse = reportsIdle ? 0 : target.running;
      TargetReport report =
          new TargetReport(inventory.servers().get(index).name(), true, false, inUse);
      events.after(scenario.reportLagSeconds() * NANOS_PER_SECOND, () -> deliverReport(report));
    }
    events.after(NANOS_PER_SECOND, this::sendReports);
  }

  private static boolean isFalseReports(Scenario.Fault fault) {
    return fault instanceof Scenario.Fault.FalseReports;
  }

  private void deliverReport(TargetReport report) {
    for (int instance = 0; instance < fleet.size(); instance++) {
      if (fleet.alive[instance]) {
        fleet.strategies[instance].onReport(report);
      }
    }
  }

  List<FakeTarget> targetsInRegion(int region) {
    return List.of(targets).stream().filter(target -> target.region == region).toList();
  }
}
