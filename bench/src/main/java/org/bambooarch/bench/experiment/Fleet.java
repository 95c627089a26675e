package org.bambooarch.bench.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.link.LinkBudgets;
import org.bambooarch.core.routing.InstanceCandidate;
import org.bambooarch.core.routing.LookupPolicy;
import org.bambooarch.core.routing.LookupResult;
import org.bambooarch.core.routing.LookupSettings;
import org.bambooarch.core.time.ManualClock;

/** The entry instances of a simulation, and the look-ups that they answer for callers. */
final class Fleet {

  private static final double UNLIMITED_CROSS_REGION_SHARE = 1e6;
  private static final long LOOKUP_LIFETIME_NANOS = 30_000_000_000L;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  final RoutingStrategy[] strategies;
  final boolean[] alive;

  /** Whether a drain rule takes the instance out of look-ups; it still serves requests. */
  final boolean[] drained;

  private final LookupPolicy[] lookups;
  private final Deployment deployment;
  private final Scenario scenario;
  private final Policy policy;
  private final ManualClock clock;
  private final Random random;
  private final LookupSettings lookupSettings;

  Fleet(
      Deployment deployment,
      Scenario scenario,
      Policy policy,
      long callerBytesPerSecond,
      ManualClock clock,
      Random random) {
    this.deployment = deployment;
    this.scenario = scenario;
    this.policy = policy;
    this.clock = clock;
    this.random = random;
    double maxCrossRegionShare =
        policy.usesLibrary()
            ? LookupSettings.defaults().maxCrossRegionShare()
            : UNLIMITED_CROSS_REGION_SHARE;
    lookupSettings =
        new LookupSettings(callerBytesPerSecond, LOOKUP_LIFETIME_NANOS, maxCrossRegionShare);
    strategies = new RoutingStrategy[deployment.instances()];
    lookups = new LookupPolicy[deployment.instances()];
    alive = new boolean[deployment.instances()];
    drained = new boolean[deployment.instances()];
  }

  int size() {
    return strategies.length;
  }

  String dataCentreOf(int instance) {
    int dataCentres = deployment.dataCentres().size();
    int region = instance % deployment.regions().size();
    int part = instance / deployment.regions().size() % 2;
    return deployment.dataCentres().get((2 * region + part) % dataCentres).name();
  }

  int regionOf(int instance) {
    return instance % deployment.regions().size();
  }

  /** Starts an instance, or restarts it with new state. */
  void start(int instance, Inventory inventory) {
    alive[instance] = true;
    String dataCentre = dataCentreOf(instance);
    if (policy.usesLibrary()) {
      LibraryRoutingStrategy libraryStrategy =
          new LibraryRoutingStrategy(
              deployment, inventory, dataCentre, scenario.bulkDueMinutes(), clock, random);
      strategies[instance] = libraryStrategy;
      lookups[instance] =
          LookupPolicy.create(inventory, libraryStrategy.links(), lookupSettings, clock);
    } else {
      strategies[instance] =
          new BaselineRoutingStrategy(
              BaselineRoutingStrategy.Kind.valueOf(policy.name()),
              deployment,
              inventory,
              dataCentre,
              scenario.reportLagSeconds() * NANOS_PER_SECOND,
              clock,
              random);
      LinkBudgets links = LinkBudgets.equalShares(inventory, deployment.instances(), clock);
      lookups[instance] = LookupPolicy.create(inventory, links, lookupSettings, clock);
    }
  }

  /**
   * Gives all look-up policies the current list of instances, available if alive and not drained.
   */
  void publishInstances() {
    List<InstanceCandidate> candidates = new ArrayList<>();
    for (int instance = 0; instance < size(); instance++) {
      candidates.add(
          new InstanceCandidate(
              Integer.toString(instance),
              dataCentreOf(instance),
              "127.0.0.1",
              8_000 + instance,
              alive[instance] && !drained[instance],
              0));
    }
    for (LookupPolicy lookup : lookups) {
      lookup.update(candidates);
    }
  }

  /**
   * Looks up an instance for a caller of a region, at a random live instance. Returns -1 if the
   * answer is to retry later.
   */
  int lookUp(int clientRegion) {
    int answering = random.nextInt(size());
    while (!alive[answering]) {
      answering = random.nextInt(size());
    }
    int part = random.nextInt(2);
    String dataCentre = deployment.dataCentres().get(2 * clientRegion + part).name();
    return switch (lookups[answering].answer(dataCentre, random.nextInt(1 << 20))) {
      case LookupResult.Instances found -> Integer.parseInt(found.ordered().getFirst().name());
      case LookupResult.RetryLater retryLater -> -1;
    };
  }

  void tick() {
    for (int instance = 0; instance < size(); instance++) {
      if (alive[instance]) {
        strategies[instance].tick();
        lookups[instance].tick();
      }
    }
  }
}
