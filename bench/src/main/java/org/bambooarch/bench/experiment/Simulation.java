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
 * One open-loop run: arrivals do not wait for answers, so a slow policy cannot lower its own load.
 */
final class Simulation {

  static final int DURATION_SECONDS = 26;
  static final long NANOS_PER_SECOND = 1_000_000_000L;

  private static final int WARM_UP_SECONDS = 3;
  private static final int COOL_DOWN_SECONDS = 4;
  private static final long TICK_NANOS = 50_000_000L;
  private static final long POLL_NANOS = 5_000_000L;
  private static final int AGGRESSOR = 3;
  private static final double HOME_SHARE = 0.6;

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
  private final RateLimit rates;
  private final RequestFlow flow;
  private final RegionMeter regionMeter;

  Simulation(Deployment deployment, Scenario scenario, Policy policy, long seed) {
    this.deployment = deployment;
    this.scenario = scenario;
    random = new Random(seed);
    inventory = deployment.inventory(scenario.load());
    results = new Results(inventory.customers().size());
    network = new Network(deployment, DURATION_SECONDS * NANOS_PER_SECOND);
    callers = new Callers(inventory.customers().size(), deployment.regions().size(), random);
    rates = new RateLimit(inventory.customers());
    fleet = new Fleet(deployment, scenario, policy, callerBytesPerSecond(), clock, random);
    targets = new FakeTarget[inventory.servers().size()];
    for (int row = 0; row < targets.length; row++) {
      Server server = inventory.servers().get(row);
      targets[row] = new FakeTarget(server.slots(), network.regionOf(server.dataCentre()));
    }
    regionMeter = new RegionMeter(deployment.regions().size(), targets);
    flow = new RequestFlow(this);
  }

  Results run() {
    for (int instance = 0; instance < fleet.size(); instance++) {
      fleet.start(instance, inventory);
    }
    fleet.publishInstances();
    scheduleArrivals();
    events.after(TICK_NANOS, this::tick);
    events.after(POLL_NANOS, this::poll);
    events.after(NANOS_PER_SECOND, this::sendReports);
    new Faults(this).schedule();
    events.runUntil(DURATION_SECONDS * NANOS_PER_SECOND);
    results.windowsOverCap = network.windowsOverCap();
    results.peakLinkShare = network.peakShare();
    results.peakRegionShare = regionMeter.peakShare();
    return results;
  }

  boolean isMeasured(Request request) {
    long start = WARM_UP_SECONDS * NANOS_PER_SECOND;
    long end = (DURATION_SECONDS - COOL_DOWN_SECONDS) * NANOS_PER_SECOND;
    return request.bornNanos >= start && request.bornNanos < end;
  }

  /** Puts drain rules in force on all instances. */
  void drain(DrainRule... rules) {
    Inventory changed = deployment.inventory(scenario.load(), rules);
    for (int instance = 0; instance < fleet.size(); instance++) {
      String region = deployment.regions().get(fleet.regionOf(instance));
      fleet.drained[instance] = Arrays.stream(rules).anyMatch(rule -> rule.name().equals(region));
      if (fleet.alive[instance]) {
        fleet.steering[instance].reconfigure(changed);
      }
    }
    fleet.publishInstances();
  }

  Inventory inventory() {
    return inventory;
  }

  private long callerBytesPerSecond() {
    double perRequest = 0;
    for (int route = 0; route < Traffic.routes().size(); route++) {
      perRequest += Traffic.share(route) * Traffic.routes().get(route).expectedAnswerBytes();
    }
    double total = scenario.load() * deployment.capacityPerSecond() * perRequest;
    return (long) (total / callers.count());
  }

  private void scheduleArrivals() {
    for (int customer = 0; customer < inventory.customers().size(); customer++) {
      double demand = Deployment.DEMAND_SHARES[customer] * deployment.capacityPerSecond();
      demand *= scenario.load() * (customer == AGGRESSOR ? scenario.aggressorFactor() : 1);
      for (int route = 0; route < Traffic.routes().size(); route++) {
        double factor = route == Traffic.BULK ? scenario.bulkFactor() : 1;
        scheduleNext(customer, route, demand * Traffic.share(route) * factor);
      }
    }
  }

  private void scheduleNext(int customer, int route, double perSecond) {
    long gapNanos = (long) (random.nextExponential() / perSecond * NANOS_PER_SECOND);
    events.after(
        gapNanos,
        () -> {
          arrive(customer, route);
          scheduleNext(customer, route, perSecond);
        });
  }

  private void arrive(int customer, int route) {
    int regions = deployment.regions().size();
    int home = customer % regions;
    int region = random.nextDouble() < HOME_SHARE ? home : random.nextInt(regions);
    int service = random.nextInt(deployment.services().size());
    Request request = new Request(customer, service, route, region, events.nowNanos());
    if (!rates.tryTake(customer, events.nowNanos())) {
      return;
    }
    int caller = callers.pick(customer, region);
    int instance = callers.instanceOf(caller, region, fleet, events.nowNanos());
    if (isMeasured(request)) {
      results.offered[customer]++;
    }
    if (instance == Callers.NO_INSTANCE) {
      flow.unreachable(request);
      return;
    }
    events.after(
        network.callerDelayNanos(region, fleet.regionOf(instance)),
        () -> flow.receive(instance, request));
  }

  private void tick() {
    fleet.tick();
    regionMeter.sample();
    events.after(TICK_NANOS, this::tick);
  }

  private void poll() {
    for (int instance = 0; instance < fleet.size(); instance++) {
      if (fleet.alive[instance]) {
        fleet.steering[instance].poll();
        flow.drainQueues(instance);
      }
    }
    events.after(POLL_NANOS, this::poll);
  }

  private void sendReports() {
    for (int row = 0; row < targets.length; row++) {
      FakeTarget target = targets[row];
      if (target.dead) {
        continue;
      }
      boolean lies = target.failing || scenario.faults().stream().anyMatch(Simulation::isLie);
      int inUse = lies ? 0 : target.running;
      TargetReport report =
          new TargetReport(inventory.servers().get(row).name(), true, false, inUse);
      events.after(scenario.reportLagSeconds() * NANOS_PER_SECOND, () -> deliver(report));
    }
    events.after(NANOS_PER_SECOND, this::sendReports);
  }

  private static boolean isLie(Scenario.Fault fault) {
    return fault instanceof Scenario.Fault.LyingReports;
  }

  private void deliver(TargetReport report) {
    for (int instance = 0; instance < fleet.size(); instance++) {
      if (fleet.alive[instance]) {
        fleet.steering[instance].report(report);
      }
    }
  }

  List<FakeTarget> targetsOfRegion(int region) {
    return List.of(targets).stream().filter(target -> target.region == region).toList();
  }
}
