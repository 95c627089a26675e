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

/** The entry instances of an experiment and the look-ups of their callers. */
final class Fleet {

  private static final double NO_STEERING_CAP = 1e6;
  private static final long ANSWER_LIFETIME_NANOS = 30_000_000_000L;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  final Steering[] steering;
  final boolean[] alive;

  /** Instances that a drain rule takes out of look-ups; they still serve. */
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
        policy.isOurs() ? LookupSettings.defaults().maxCrossRegionShare() : NO_STEERING_CAP;
    lookupSettings =
        new LookupSettings(callerBytesPerSecond, ANSWER_LIFETIME_NANOS, maxCrossRegionShare);
    steering = new Steering[deployment.instances()];
    lookups = new LookupPolicy[deployment.instances()];
    alive = new boolean[deployment.instances()];
    drained = new boolean[deployment.instances()];
  }

  int size() {
    return steering.length;
  }

  String dataCentreOf(int instance) {
    int places = deployment.dataCentres().size();
    int region = instance % deployment.regions().size();
    int part = instance / deployment.regions().size() % 2;
    return deployment.dataCentres().get((2 * region + part) % places).name();
  }

  int regionOf(int instance) {
    return instance % deployment.regions().size();
  }

  /** Starts an instance that knows nothing. */
  void start(int instance, Inventory inventory) {
    alive[instance] = true;
    String place = dataCentreOf(instance);
    if (policy.isOurs()) {
      LibrarySteering ours =
          new LibrarySteering(
              deployment, inventory, place, scenario.bulkDueMinutes(), clock, random);
      steering[instance] = ours;
      lookups[instance] = LookupPolicy.create(inventory, ours.links(), lookupSettings, clock);
    } else {
      steering[instance] =
          new BaselineSteering(
              BaselineSteering.Kind.valueOf(policy.name()),
              deployment,
              inventory,
              place,
              scenario.reportLagSeconds() * NANOS_PER_SECOND,
              clock,
              random);
      LinkBudgets links = LinkBudgets.equalShares(inventory, deployment.instances(), clock);
      lookups[instance] = LookupPolicy.create(inventory, links, lookupSettings, clock);
    }
  }

  /** Tells all look-up policies which instances are alive. */
  void publishInstances() {
    List<InstanceCandidate> rows = new ArrayList<>();
    for (int instance = 0; instance < size(); instance++) {
      rows.add(
          new InstanceCandidate(
              Integer.toString(instance),
              dataCentreOf(instance),
              "127.0.0.1",
              8_000 + instance,
              alive[instance] && !drained[instance],
              0));
    }
    for (LookupPolicy lookup : lookups) {
      lookup.update(rows);
    }
  }

  /** Returns the instance that a caller of a region uses, or -1 if it has to come back. */
  int lookUp(int clientRegion) {
    int answering = random.nextInt(size());
    while (!alive[answering]) {
      answering = random.nextInt(size());
    }
    int part = random.nextInt(2);
    String place = deployment.dataCentres().get(2 * clientRegion + part).name();
    return switch (lookups[answering].answer(place, random.nextInt(1 << 20))) {
      case LookupResult.Instances found -> Integer.parseInt(found.ordered().getFirst().name());
      case LookupResult.RetryLater retryLater -> -1;
    };
  }

  void tick() {
    for (int instance = 0; instance < size(); instance++) {
      if (alive[instance]) {
        steering[instance].tick();
        lookups[instance].tick();
      }
    }
  }
}
